"""What a request needs of an endpoint, and when it would be served there."""

import math

from attrs import frozen


@frozen(kw_only=True)
class Work:
    """Work that a request causes at an endpoint.

    :ivar prompt_tokens: tokens of the prompt.
    :ivar output_tokens: expected tokens of the answer.
    :ivar prefill_s: seconds to read the prompt at the usual pace.
    :ivar priority: 0 (most urgent) to 9.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    prefill_s: float = 0
    priority: int = 0

    @property
    def memory_tokens(self) -> int:
        """Tokens of memory that the request holds at its end."""
        return self.prompt_tokens + self.output_tokens


@frozen(kw_only=True)
class Forecast:
    """Prediction for a request at one endpoint.

    All times are in seconds from the moment of the forecast.

    :ivar start_s: time until the endpoint begins to run the request.
    :ivar first_s: time until the first event, or until a plain answer.
    :ivar finish_s: time until the answer is complete.
    :ivar occupancy: share of the endpoint's slots or memory that is taken,
        whichever is larger; above 1 if requests wait.
    :ivar slowdown: time that work takes at the moment, as a multiple of the
        usual time.
    :ivar age_s: age of the endpoint's report, infinite if there is none.
    """

    start_s: float
    first_s: float
    finish_s: float
    occupancy: float
    slowdown: float = 1.0
    age_s: float = math.inf

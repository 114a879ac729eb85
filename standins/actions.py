"""What stand-in endpoints do with a request, drawn at random."""

import random
from collections.abc import Mapping
from typing import Final

from standins.unusual import UnusualBehaviour

# Faults of an endpoint, drawn with equal probability.
PLAIN_FAULTS: Final = ('shed', 'fail', 'reset', 'cut', 'twice', 'junk')
STREAM_FAULTS: Final = ('shed', 'reset', 'tear', 'stop', 'twice')
# Actions whose answers may end with the connection: a stream that is torn ends
# within an event.
_UNFRAMED_ACTIONS: Final = frozenset(('serve', 'tear'))
INCOMPLETE_ACTIONS: Final = frozenset(('tear', 'stop'))
ABRUPT_ACTIONS: Final = frozenset(('reset', 'flood', 'crash'))


class ActionChooser:
    """Chooses what an endpoint does with a request.

    :param rng: random generator to draw from.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        headers: Mapping[bytes, bytes],
        fault_share: float,
        unusual: UnusualBehaviour,
        *,
        is_stream: bool,
    ) -> str:
        """Return ``serve``, ``crash`` or a fault.

        :param headers: headers of the request.
        :param fault_share: share of requests that get a fault, between 0 and 1.
        :param unusual: what the endpoint does besides faults.
        :param is_stream: whether the answer is a stream.
        """
        part = unusual.crash_part.encode()
        if part and part in headers.get(b'x-prefix-hash', b''):
            return 'crash'
        if self._rng.random() >= fault_share:
            return 'serve'
        faults = STREAM_FAULTS if is_stream else PLAIN_FAULTS
        if unusual.has_floods:
            faults = (*faults, 'flood')
        return self._rng.choice(faults)

    def omits_length(self, action: str, unusual: UnusualBehaviour) -> bool:
        """Return whether an answer has no length and ends with the connection.

        :param action: what the endpoint does.
        :param unusual: what the endpoint does besides faults.
        """
        return (
            unusual.unframed_share > 0
            and action in _UNFRAMED_ACTIONS
            and self._rng.random() < unusual.unframed_share
        )

"""Retry budget and backoff, which bound the load added by retries."""

import random
from typing import Final

import anyio

_RETRY_RATIO: Final = 0.1
_MAX_SAVED_RETRIES: Final = 20.0
_BASE_DELAY_S: Final = 0.01
_MAX_DELAY_S: Final = 0.5
_MAX_DOUBLINGS: Final = 8
# Range of the Retry-After delay, in seconds, when no endpoint can serve a
# request: long enough for an endpoint to finish a request, short compared with
# latency goals.  The jitter keeps callers that were rejected together from
# retrying together.
MIN_RETRY_AFTER_S: Final = 0.5
MAX_RETRY_AFTER_S: Final = 1.1


class RetryBudget:
    """Limits retries to a fixed share of the requests.

    :param share: retries that each request adds to the budget.
    :param burst: largest number of retries that may accumulate.
    """

    def __init__(
        self, *, share: float = _RETRY_RATIO, burst: float = _MAX_SAVED_RETRIES
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Add the share of one request to the budget."""
        self._tokens = min(self._tokens + self._share, self._burst)

    def try_spend(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


async def sleep_before_retry(attempt: int) -> None:
    """Sleep with exponential backoff and full jitter.

    :param attempt: number of attempts that have failed, starting at one.
    """
    max_delay_s = min(
        _BASE_DELAY_S * (1 << min(attempt, _MAX_DOUBLINGS)), _MAX_DELAY_S
    )
    await anyio.sleep(random.uniform(0, max_delay_s))


def draw_retry_after() -> float:
    """Return a random Retry-After delay, in seconds."""
    return random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)

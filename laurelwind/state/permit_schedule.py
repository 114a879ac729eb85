"""Schedule of the permits of one endpoint, by the generic cell rate algorithm.

Permits are due at even intervals. Within any span of time at most
``rate * (span + BURST_S) + 1`` of them fall due.
"""

from typing import Final

from attrs import define

# Permits that were not asked for are available later, for this time.
BURST_S: Final = 0.5
# Lowest rate that is granted, in requests per second. An endpoint that gets no
# request at all could not state that its limit has ended.
MIN_RATE: Final = 0.2


@define(kw_only=True)
class PermitSchedule:
    """Schedule of permits; moments are on the monotonic clock.

    :ivar next_at: moment from which the next permit may be due.
    """

    next_at: float

    def reserve(self, rate: float, now: float, max_wait_s: float) -> float:
        """Reserve the next permit if it is due soon enough.

        :param rate: permits per second.
        :param now: the current moment.
        :param max_wait_s: longest wait for the permit, in seconds.
        :returns: seconds until the permit is due; if they exceed
            ``max_wait_s``, nothing was reserved.
        """
        wait_s = self.estimate_wait(now)
        if wait_s <= max_wait_s:
            self.next_at = max(self.next_at, now - BURST_S) + _space(rate)
        return wait_s

    def cancel(self, rate: float) -> None:
        """Take back a permit that was not used.

        :param rate: permits per second.
        """
        self.next_at -= _space(rate)

    def estimate_wait(self, now: float) -> float:
        """Return the seconds until the next permit is due.

        :param now: the current moment.
        """
        return max(self.next_at - now, 0)


def _space(rate: float) -> float:
    """Return the seconds between two permits."""
    return 1 / max(rate, MIN_RATE)

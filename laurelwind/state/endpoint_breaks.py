"""Tells a crash of an endpoint from the failures while it is down."""

from typing import Final

from attrs import evolve, frozen

# Seconds within which the connections to an endpoint break as it crashes, and
# the daemons that lose one hear of each other.
CRASH_S: Final = 0.25
# The most endpoints of which breaks are kept; the newest count.
MAX_ENDPOINTS: Final = 1024


@frozen(kw_only=True)
class EndpointBreak:
    """A connection to an endpoint that broke.

    Moments are on the monotonic clock of the daemon that holds it.

    :ivar endpoint: the endpoint and the start time of its process.
    :ivar broke_at: moment at which the connection broke.
    :ivar alive_at: moment at which the endpoint last sent an event to the
        daemon that lost the connection, or minus infinity.
    """

    endpoint: str
    broke_at: float
    alive_at: float


@frozen(kw_only=True)
class _Outage:
    """Time in which an endpoint only broke connections."""

    started_at: float
    last_break_at: float


class EndpointBreaks:
    """The last outage of each endpoint.

    An endpoint that is down, behind a proxy, breaks whatever it is sent.  Only
    what breaks together with the first connection may have caused the outage.
    """

    def __init__(self) -> None:
        self._outages: dict[str, _Outage] = {}

    def record(self, broken: EndpointBreak) -> bool:
        """Record a broken connection; return whether it begins an outage.

        :param broken: the connection.
        """
        known = self._outages.get(broken.endpoint)
        # A notice that was long under way shows its moments too late.
        if known is None or broken.alive_at > known.last_break_at + CRASH_S:
            self._outages.pop(broken.endpoint, None)
            self._outages[broken.endpoint] = _Outage(
                started_at=broken.broke_at, last_break_at=broken.broke_at
            )
            if len(self._outages) > MAX_ENDPOINTS:
                self._outages.pop(next(iter(self._outages)))
            return True
        self._outages[broken.endpoint] = evolve(
            known,
            started_at=min(known.started_at, broken.broke_at),
            last_break_at=max(known.last_break_at, broken.broke_at),
        )
        return broken.broke_at < known.started_at - CRASH_S

    def is_crash(self, endpoint: str, broke_at: float) -> bool:
        """Return whether a connection broke as the endpoint went down.

        :param endpoint: the endpoint and the start time of its process.
        :param broke_at: moment at which the connection broke.
        """
        outage = self._outages.get(endpoint)
        return outage is not None and (
            outage.started_at <= broke_at <= outage.started_at + CRASH_S
        )

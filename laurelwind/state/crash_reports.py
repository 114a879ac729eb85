"""Reports of attempts that broke off."""

import itertools
from collections.abc import Iterable, Sequence
from operator import attrgetter
from typing import Final

from attrs import frozen

from laurelwind.state.endpoint_breaks import EndpointBreak

# Shortest time, in seconds, from the first to the last of the failures that
# blame a suspect.  Endpoints that fail together, as a zone loses power, are
# reported at slightly different moments.
MIN_SPAN_S: Final = 0.25
# Seconds by which moments of different daemons may differ: their ages are
# counted from the arrival of the datagram.
MOMENT_TOLERANCE_S: Final = 0.05
# The most reports that are compared with each other; the newest count.
MAX_COMPARED: Final = 24

# Prefix of the name of a whole request.  The names of parts hold no colon.
REQUEST_PREFIX: Final = 'request:'

# What may be the cause of a crash, a shared part of prompts or a whole request:
# its service and its name.
SuspectKey = tuple[str, str]
SuspectKeys = frozenset[SuspectKey]


def is_request(key: SuspectKey) -> bool:
    """Return whether a suspect is a whole request.

    :param key: the suspect.
    """
    return key[1].startswith(REQUEST_PREFIX)


def select_requests(keys: SuspectKeys) -> SuspectKeys:
    """Return the suspects that are whole requests.

    :param keys: suspects of any kind.
    """
    return frozenset(filter(is_request, keys))


def select_parts(keys: SuspectKeys) -> SuspectKeys:
    """Return the suspects that are parts of prompts.

    :param keys: suspects of any kind.
    """
    return frozenset(itertools.filterfalse(is_request, keys))


@frozen(kw_only=True)
class CrashReport:
    """An attempt whose connection broke before its answer was complete.

    Moments are on the monotonic clock of the daemon that holds the report.

    :ivar attempt: identifier of the attempt, unique in the fleet.
    :ivar endpoint: the endpoint and the start time of its process.
    :ivar prompt: key of the prompt, the same for its repeats.
    :ivar keys: the request, and the shared parts of its prompt unless its
        answer had begun.
    :ivar alive_at: moment at which the endpoint last sent an event to the
        daemon that reports, or minus infinity.
    :ivar sent_at: moment of sending.
    :ivar broke_at: moment at which the connection broke.
    """

    attempt: str
    endpoint: str
    prompt: str
    keys: SuspectKeys
    sent_at: float
    broke_at: float
    alive_at: float = float('-inf')

    @property
    def service(self) -> str:
        """Name of the service that all keys belong to."""
        return next((service for service, _ in self.keys), '')

    @property
    def broken(self) -> EndpointBreak:
        """The broken connection."""
        return EndpointBreak(
            endpoint=self.endpoint,
            broke_at=self.broke_at,
            alive_at=self.alive_at,
        )


def find_series(
    reports: Iterable[CrashReport], *, min_endpoints: int, min_prompts: int
) -> Sequence[CrashReport]:
    """Return failures that came one after the other, or none.

    Failures at the same moment have one cause, which need not be a request,
    so each attempt of a series was sent after the failure of the one before.

    :param reports: the reports, in any order.
    :param min_endpoints: fewest different endpoints in the series.
    :param min_prompts: fewest different prompts in the series.
    """
    recent = sorted(reports, key=attrgetter('broke_at'))[-MAX_COMPARED:]
    for pivot in recent:
        earlier = [report for report in recent if _precedes(report, pivot)]
        later = [report for report in recent if _precedes(pivot, report)]
        series = (*_chain(earlier), pivot, *_chain(later))
        if (
            _count(series, 'endpoint') >= min_endpoints
            and _count(series, 'prompt') >= min_prompts
            and series[-1].broke_at - series[0].broke_at >= MIN_SPAN_S
        ):
            return series
    return ()


def _chain(reports: Iterable[CrashReport]) -> list[CrashReport]:
    """Return the most reports of which each precedes the next.

    :param reports: the reports, ordered by the moment of failure.
    """
    series: list[CrashReport] = []
    for report in reports:
        if not series or _precedes(series[-1], report):
            series.append(report)
    return series


def _precedes(report: CrashReport, other: CrashReport) -> bool:
    """Return whether an attempt was sent after another one had failed."""
    return other.sent_at >= report.broke_at - MOMENT_TOLERANCE_S


def _count(series: Iterable[CrashReport], attribute: str) -> int:
    return len(set(map(attrgetter(attribute), series)))

"""Which endpoint a request goes to.

Engines run requests in batches: each step makes one token for every request
of the batch, takes as long as the largest model in it needs, and reads a
piece of the prompts that wait.  So a long prompt of a large model holds up
every answer beside it, and a small model is only fast among its like.
Endpoints are therefore divided into lanes, by the work that they are asked
for, and the work that waits at each is told among the daemons of a zone.
"""

import enum
import hashlib
import random
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from attrs import frozen

from laurelwind.coordination.views import ERROR_WEIGHT, EndpointView
from laurelwind.protocol.exchanges import EndpointReport
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_clock

# What a pace that is a multiple of the others' median costs: nothing up to the
# first multiple, then in proportion.
SLOW_RATIO: Final = 3.0
SLOW_S: Final = 0.4
MOST_SLOW_S: Final = 2.0
# Pauses after failures in a row: doubled each time, up to the longest.
FIRST_PAUSE_S: Final = 0.4
LONGEST_PAUSE_S: Final = 5.0
_MAX_DOUBLINGS: Final = 4
# Seconds that are lost by a request that fails.
FAILED_S: Final = 2.0
# Costs of a choice, in seconds of waiting.  A full endpoint costs as much as
# a second of waiting work; another zone and another lane cost a part of it.
FULL_S: Final = 1.0
ZONE_S: Final = 0.35
LANE_S: Final = 0.5
# Seconds by which the endpoint that knows a prompt may be worse than the best
# one, besides the time that reading the prompt anew would take.
AFFINITY_S: Final = 0.05


class Lane(enum.Enum):
    """Kinds of work that are kept apart at engines."""

    LONG = 'long'
    OTHER = 'other'


# Parts of a zone's endpoints, in the order in which they are dealt out.
LANE_SHARES: Final[Mapping[Lane, float]] = {
    Lane.LONG: 0.34,
    Lane.OTHER: 0.66,
}


@frozen(kw_only=True)
class Want:
    """What a request wants of an endpoint.

    :ivar affinity: requests with the same one share work, or empty.
    :ivar saving_s: seconds of reading that the shared work saves.
    :ivar avoided: names of endpoints that failed it.
    :ivar lane: kind of work, or ``None`` where nothing is kept apart.
    """

    affinity: str = ''
    saving_s: float = 0
    avoided: frozenset[str] = frozenset()
    lane: Lane | None = None


class Placement:
    """Chooses endpoints, and remembers how they did.

    :param zone: this daemon's availability zone.
    """

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self._seen: dict[str, EndpointView] = {}

    def choose(
        self, endpoints: Sequence[EndpointRecord], want: Want
    ) -> EndpointRecord | None:
        """Choose an endpoint, or none where there is none.

        :param endpoints: those that the request may go to.
        :param want: what the request wants.
        """
        costs = self._list_costs(endpoints, want)
        if not costs:
            return None
        least = min(costs.values())
        if not want.affinity:
            best = [name for name, cost in costs.items() if cost == least]
            return _find(endpoints, random.choice(best))
        allowed = least + AFFINITY_S + want.saving_s
        near = [name for name, cost in costs.items() if cost <= allowed]
        known = max(near, key=lambda name: _rank(want.affinity, name))
        return _find(endpoints, known)

    def estimate_wait(
        self, endpoints: Sequence[EndpointRecord], want: Want
    ) -> float:
        """Estimate the seconds that the best endpoint is behind.

        :param endpoints: those that the request may go to.
        :param want: what the request wants.
        """
        return min(self._list_costs(endpoints, want).values(), default=0)

    def estimate_behind(self, endpoint: EndpointRecord) -> float:
        """Estimate the seconds of work that wait at an endpoint.

        :param endpoint: the endpoint.
        """
        return self._find(endpoint).estimate_behind(read_clock())

    def note_sent(self, endpoint: EndpointRecord, work_s: float) -> None:
        """Note a request on its way.

        :param endpoint: where it went.
        :param work_s: seconds that reading its prompt takes.
        """
        seen = self._find(endpoint)
        seen.in_flight += 1
        seen.add_work(work_s, read_clock())

    def note_work(self, name: str, work_s: float) -> None:
        """Note a request that another daemon has sent.

        :param name: name of the endpoint.
        :param work_s: seconds that reading its prompt takes.
        """
        self._seen.setdefault(name, EndpointView()).add_work(
            work_s, read_clock()
        )

    def note_ended(self, endpoint: EndpointRecord) -> None:
        """Note that a request has ended.

        :param endpoint: where it was.
        """
        seen = self._find(endpoint)
        seen.in_flight = max(seen.in_flight - 1, 0)

    def note_first_byte(
        self, endpoint: EndpointRecord, waited_s: float, work_s: float
    ) -> None:
        """Note how long an endpoint took to begin an answer.

        :param endpoint: the endpoint.
        :param waited_s: seconds until the first byte.
        :param work_s: seconds that reading the prompt takes.
        """
        self._find(endpoint).note_delay(max(waited_s - work_s, 0), read_clock())

    def note_events(
        self, endpoint: EndpointRecord, pace_s: float | None
    ) -> None:
        """Note how fast a stream's events come.

        :param endpoint: the endpoint.
        :param pace_s: seconds that an event took, or ``None`` for a first.
        """
        if pace_s is not None:
            self._find(endpoint).note_pace(pace_s, read_clock())

    def note_report(
        self, endpoint: EndpointRecord, report: EndpointReport
    ) -> None:
        """Note what an endpoint says of its load.

        :param endpoint: the endpoint.
        :param report: its load.
        """
        seen = self._find(endpoint)
        seen.report = report
        seen.reported_at = read_clock()
        seen.own_at_report = seen.in_flight

    def note_success(self, endpoint: EndpointRecord) -> None:
        """Note that an endpoint served a request.

        :param endpoint: the endpoint.
        """
        seen = self._find(endpoint)
        seen.failures = 0
        seen.paused_until = 0
        seen.note_outcome(0, read_clock())

    def note_error(self, endpoint: EndpointRecord) -> None:
        """Note that an endpoint answered with a failure of its own.

        :param endpoint: the endpoint.
        """
        self._find(endpoint).note_outcome(1, read_clock(), ERROR_WEIGHT)

    def note_failure(self, endpoint: EndpointRecord) -> float:
        """Note a failure, and give the seconds for which it is avoided.

        :param endpoint: the endpoint.
        """
        seen = self._find(endpoint)
        doublings = min(seen.failures, _MAX_DOUBLINGS)
        pause_s = min(FIRST_PAUSE_S * (1 << doublings), LONGEST_PAUSE_S)
        seen.failures += 1
        seen.paused_until = read_clock() + pause_s
        seen.note_outcome(1, read_clock())
        return pause_s

    def forget(self, names: set[str]) -> None:
        """Forget every endpoint but these.

        :param names: endpoints that are left.
        """
        for name in tuple(self._seen):
            if name not in names and not self._seen[name].in_flight:
                self._seen.pop(name)

    def _list_costs(
        self, endpoints: Sequence[EndpointRecord], want: Want
    ) -> dict[str, float]:
        now = read_clock()
        usable = [one for one in endpoints if one.name not in want.avoided]
        awake = [one for one in usable if self._find(one).paused_until <= now]
        lanes = {} if want.lane is None else assign_lanes(endpoints)
        usual_s = self._find_usual_pace(endpoints, now)
        costs = {}
        for endpoint in awake or usable:
            cost = self._weigh(endpoint, now)
            cost += _charge_pace(self._find(endpoint).read_pace(now), usual_s)
            if lanes.get(endpoint.name) is not want.lane:
                cost += LANE_S
            costs[endpoint.name] = cost
        return costs

    def _find_usual_pace(
        self, endpoints: Sequence[EndpointRecord], now: float
    ) -> float:
        paces = [self._find(one).read_pace(now) for one in endpoints]
        known = [pace for pace in paces if pace]
        return statistics.median(known) if len(known) > 2 else 0

    def _weigh(self, endpoint: EndpointRecord, now: float) -> float:
        seen = self._find(endpoint)
        fullness = seen.estimate_busy(now) / max(endpoint.slots, 1)
        cost = seen.estimate_behind(now) + fullness * FULL_S
        cost += seen.read_failed_share(now) * FAILED_S
        if endpoint.zone != self._zone:
            cost += ZONE_S
        return cost

    def _find(self, endpoint: EndpointRecord) -> EndpointView:
        return self._seen.setdefault(endpoint.name, EndpointView())


def assign_lanes(endpoints: Iterable[EndpointRecord]) -> dict[str, Lane]:
    """Divide the endpoints of each zone into lanes, alike in every daemon.

    :param endpoints: the endpoints.
    """
    zones: dict[str, list[str]] = {}
    for endpoint in endpoints:
        zones.setdefault(endpoint.zone, []).append(endpoint.name)
    lanes = {}
    for names in zones.values():
        for place, name in enumerate(sorted(names)):
            lanes[name] = _find_lane((place + 0.5) / len(names))
    return lanes


def _find_lane(part: float) -> Lane:
    for lane, share in LANE_SHARES.items():
        part -= share
        if part < 0:
            return lane
    return Lane.OTHER


def _charge_pace(pace_s: float, usual_s: float) -> float:
    if not pace_s or not usual_s:
        return 0
    over = max(pace_s / usual_s - SLOW_RATIO, 0)
    return min(over * SLOW_S, MOST_SLOW_S)


def _find(
    endpoints: Sequence[EndpointRecord], name: str
) -> EndpointRecord | None:
    return next((one for one in endpoints if one.name == name), None)


def _rank(affinity: str, name: str) -> bytes:
    text = f'{affinity}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()

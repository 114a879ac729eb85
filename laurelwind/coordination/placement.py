"""Which endpoint a request goes to."""

import hashlib
import random
from collections.abc import Sequence
from typing import Final

from attrs import define, frozen

from laurelwind.protocol.exchanges import EndpointReport
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_clock

# How long an endpoint's report of its load is believed.
REPORT_LIFE_S: Final = 1.5
# Pauses after failures in a row: doubled each time, up to the longest.
FIRST_PAUSE_S: Final = 0.4
LONGEST_PAUSE_S: Final = 5.0
_MAX_DOUBLINGS: Final = 4
# A request stays with the endpoint that knows its prompt while that one is
# not this much fuller than the mean of the others.
AFFINITY_SLACK: Final = 0.12
# Tokens of waiting prompts that count like one busy slot.
TOKENS_PER_SLOT: Final = 3000.0
# Fullness that another availability zone must be better by.
ZONE_PENALTY: Final = 0.35


LANE_PENALTY: Final = 0.0
SMALL_SHARE: Final = 0.34


@define(kw_only=True)
class _Seen:
    """One endpoint as this daemon sees it."""

    in_flight: int = 0
    prompt_tokens: int = 0
    report: EndpointReport | None = None
    reported_at: float = 0
    own_at_report: int = 0
    failures: int = 0
    paused_until: float = 0

    def estimate_busy(self, now: float) -> float:
        """Estimate the requests that run or wait there."""
        if self.report is None or now - self.reported_at > REPORT_LIFE_S:
            return self.in_flight
        others = self.report.running + self.report.waiting - self.own_at_report
        return max(others, 0) + self.in_flight


@frozen(kw_only=True)
class Want:
    """What a request wants of an endpoint.

    :ivar affinity: requests with the same one share work, or empty.
    :ivar tokens: length of the prompt.
    :ivar avoided: names of endpoints that failed it.
    """

    affinity: str = ''
    tokens: int = 0
    lane: float | None = None
    avoided: frozenset[str] = frozenset()


class Placement:
    """Chooses endpoints, and remembers how they did.

    :param zone: this daemon's availability zone.
    """

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self._seen: dict[str, _Seen] = {}

    def choose(
        self, endpoints: Sequence[EndpointRecord], want: Want
    ) -> EndpointRecord | None:
        """Choose an endpoint, or none where there is none.

        :param endpoints: those that the request may go to.
        :param want: what the request wants.
        """
        now = read_clock()
        usable = [one for one in endpoints if one.name not in want.avoided]
        awake = [one for one in usable if self._find(one).paused_until <= now]
        candidates = awake or usable
        if not candidates:
            return None
        costs = {one.name: self._weigh(one, now) for one in candidates}
        if want.lane is not None:
            small = _list_small(endpoints)
            for one in candidates:
                if (one.name in small) != (want.lane > 0.5):
                    costs[one.name] += LANE_PENALTY
        best = min(
            candidates, key=lambda one: (costs[one.name], random.random())
        )
        if not want.affinity:
            return best
        allowed = costs[best.name] + AFFINITY_SLACK
        near = [one for one in candidates if costs[one.name] <= allowed]
        return max(near, key=lambda one: _rank(want.affinity, one.name))

    def measure_fullness(self, endpoint: EndpointRecord) -> float:
        """Tell how full an endpoint is; one is every slot taken.

        :param endpoint: the endpoint.
        """
        busy = self._find(endpoint).estimate_busy(read_clock())
        return busy / max(endpoint.slots, 1)

    def note_sent(self, endpoint: EndpointRecord, tokens: int) -> None:
        """Note a request on its way.

        :param endpoint: where it went.
        :param tokens: length of its prompt.
        """
        seen = self._find(endpoint)
        seen.in_flight += 1
        seen.prompt_tokens += tokens

    def note_started(self, endpoint: EndpointRecord, tokens: int) -> None:
        """Note that an endpoint has read a prompt.

        :param endpoint: the endpoint.
        :param tokens: length of the prompt.
        """
        seen = self._find(endpoint)
        seen.prompt_tokens = max(seen.prompt_tokens - tokens, 0)

    def note_ended(self, endpoint: EndpointRecord) -> None:
        """Note that a request has ended.

        :param endpoint: where it was.
        """
        seen = self._find(endpoint)
        seen.in_flight = max(seen.in_flight - 1, 0)

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

    def note_failure(self, endpoint: EndpointRecord) -> float:
        """Note a failure, and give the seconds for which it is avoided.

        :param endpoint: the endpoint.
        """
        seen = self._find(endpoint)
        doublings = min(seen.failures, _MAX_DOUBLINGS)
        pause_s = min(FIRST_PAUSE_S * (1 << doublings), LONGEST_PAUSE_S)
        seen.failures += 1
        seen.paused_until = read_clock() + pause_s
        return pause_s

    def forget(self, names: set[str]) -> None:
        """Forget every endpoint but these.

        :param names: endpoints that are left.
        """
        for name in tuple(self._seen):
            if name not in names and not self._seen[name].in_flight:
                self._seen.pop(name)

    def _weigh(self, endpoint: EndpointRecord, now: float) -> float:
        seen = self._find(endpoint)
        busy = seen.estimate_busy(now) + seen.prompt_tokens / TOKENS_PER_SLOT
        cost = busy / max(endpoint.slots, 1)
        if endpoint.zone != self._zone:
            cost += ZONE_PENALTY
        return cost

    def _find(self, endpoint: EndpointRecord) -> _Seen:
        seen = self._seen.get(endpoint.name)
        if seen is None:
            seen = self._seen[endpoint.name] = _Seen()
        return seen


def _list_small(endpoints: Sequence[EndpointRecord]) -> set[str]:
    zones: dict[str, list[str]] = {}
    for one in endpoints:
        zones.setdefault(one.zone, []).append(one.name)
    chosen = set()
    for names in zones.values():
        names.sort()
        chosen.update(names[: max(round(len(names) * SMALL_SHARE), 1)])
    return chosen


def _rank(affinity: str, name: str) -> bytes:
    text = f'{affinity}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()

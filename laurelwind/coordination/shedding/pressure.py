"""Pressure on a service, from forecasts of this daemon and of its peers."""

import math
from typing import Final

from attrs import define, field, frozen

from laurelwind.coordination.load.forecasts import Forecast

# Lifetime of evidence, as of an endpoint's load report.
EVIDENCE_TTL_S: Final = 1.5
# Share of an endpoint's places below which nothing is rejected.
ROOM_OCCUPANCY: Final = 0.5
# Share of the latency goal below which a predicted wait does not count: a
# request that is placed at once waits for the next step of the engine.
MIN_WAIT_SHARE: Final = 0.05
# Share of the latency goal that counts as slack if the work itself takes
# longer than the goal.
MIN_SLACK_SHARE: Final = 0.25
# Predicted wait, as a share of the slack, at which the shed share is steady.
# Requests are in time up to 1; the rest covers errors of the forecast.
TARGET_RATIO: Final = 0.2
# Gains of the shed share. The proportional one acts within a report's age, the
# integral one (per second) finds the share that a lasting overload requires.
PROPORTIONAL_GAIN: Final = 1.5
INTEGRAL_GAIN: Final = 0.3
# Time over which samples are averaged, and smallest weight of a sample.
SMOOTHING_S: Final = 0.5
MIN_WEIGHT: Final = 0.15
# Time over which the integral decays while there is room.
RELEASE_S: Final = 0.7
# Longest time that one sample integrates, as a daemon may see few requests.
MAX_STEP_S: Final = 0.5
MAX_SHED_SHARE: Final = 0.95
MAX_RATIO: Final = 1.0
# Fresh samples without room that confirm pressure where a request's own
# forecast is unknown. Each is of another request or another peer.
MIN_CONFIRMATIONS: Final = 3
_PRIORITIES: Final = 10

# Kind of a source, and the identifier of the request or address of the peer.
Source = tuple[str, str]


@frozen(kw_only=True)
class PressureSample:
    """Evidence of load for one priority of a service.

    :ivar priority: priority of the request that the forecast was made for.
    :ivar ratio: predicted wait as a share of the slack before the latency
        goal; zero if there is room.
    :ivar observed_at: moment of the endpoint's report, on the monotonic clock.
    :ivar source: what it comes from: a request or a peer.
    """

    priority: int
    ratio: float
    observed_at: float
    source: Source


def has_room(forecast: Forecast, goal_s: float) -> bool:
    """Return whether an endpoint has room, so that nothing may be rejected.

    :param forecast: forecast at the endpoint.
    :param goal_s: latency goal of the request in seconds.
    """
    if forecast.occupancy < ROOM_OCCUPANCY:
        return True
    waits = forecast.start_s > MIN_WAIT_SHARE * goal_s
    return forecast.occupancy < 1 and not waits


def compute_ratio(
    forecast: Forecast, goal_s: float, *, is_stream: bool
) -> float:
    """Return the predicted wait as a share of the slack before the goal.

    At 1 the request is just in time.

    :param forecast: forecast for the request.
    :param goal_s: latency goal in seconds.
    :param is_stream: whether the first event has to be in time.
    """
    if has_room(forecast, goal_s):
        return 0
    needed_s = forecast.first_s if is_stream else forecast.finish_s
    slack_s = goal_s - (needed_s - forecast.start_s)
    slack_s = max(slack_s, MIN_SLACK_SHARE * goal_s)
    return min(forecast.start_s / slack_s, MAX_RATIO) if slack_s > 0 else 0


@define(kw_only=True)
class ClassPressure:
    """Pressure felt by the requests of one priority.

    :ivar ratio: smoothed ratio of the samples.
    :ivar integral: shed share that the overload so far required.
    :ivar updated_at: moment of the last sample.
    :ivar observed_at: moment of the newest evidence.
    """

    ratio: float = 0
    integral: float = 0
    updated_at: float = -math.inf
    observed_at: float = -math.inf

    def record(self, sample: PressureSample, now: float) -> None:
        """Apply a sample.

        :param sample: the sample.
        :param now: current moment on the monotonic clock.
        """
        elapsed_s = now - self.updated_at
        if elapsed_s > EVIDENCE_TTL_S:
            self.ratio = 0
            self.integral = 0
        step_s = min(max(elapsed_s, 0), MAX_STEP_S)
        weight = max(1 - math.exp(-step_s / SMOOTHING_S), MIN_WEIGHT)
        self.ratio += (sample.ratio - self.ratio) * weight
        self.integral += INTEGRAL_GAIN * (self.ratio - TARGET_RATIO) * step_s
        if sample.ratio <= 0:
            self.integral *= math.exp(-step_s / RELEASE_S)
        self.integral = min(max(self.integral, 0), MAX_SHED_SHARE)
        self.updated_at = now
        self.observed_at = max(self.observed_at, sample.observed_at)

    def get_shed_share(self, now: float) -> float:
        """Return the share of work to reject, zero without fresh evidence.

        :param now: current moment on the monotonic clock.
        """
        if now - self.observed_at > EVIDENCE_TTL_S:
            return 0
        share = self.integral
        share += PROPORTIONAL_GAIN * (self.ratio - TARGET_RATIO)
        return min(max(share, 0), MAX_SHED_SHARE)


@define(kw_only=True)
class ServicePressure:
    """Pressure on one service, by priority."""

    _classes: dict[int, ClassPressure] = field(factory=dict)
    _local: dict[int, PressureSample] = field(factory=dict)
    # The newest sample of each of the last sources, newest last.
    _recent: dict[Source, PressureSample] = field(factory=dict)

    def record(self, sample: PressureSample, now: float) -> None:
        """Apply a sample of this daemon, and keep it for the peers.

        :param sample: the sample.
        :param now: current moment on the monotonic clock.
        """
        if 0 <= sample.priority < _PRIORITIES:
            self._local[sample.priority] = sample
        self.record_remote(sample, now)

    def record_remote(self, sample: PressureSample, now: float) -> None:
        """Apply a sample; stale ones and unknown priorities are ignored.

        :param sample: the sample.
        :param now: current moment on the monotonic clock.
        """
        if now - sample.observed_at > EVIDENCE_TTL_S:
            return
        if 0 <= sample.priority < _PRIORITIES:
            self._recent.pop(sample.source, None)
            if len(self._recent) >= MIN_CONFIRMATIONS:
                self._recent.pop(next(iter(self._recent)))
            self._recent[sample.source] = sample
            pressure = self._classes.setdefault(
                sample.priority, ClassPressure()
            )
            pressure.record(sample, now)

    def list_shed_shares(self, now: float) -> dict[int, float]:
        """Return the shed shares above zero, by priority that requires them.

        :param now: current moment on the monotonic clock.
        """
        shares = {
            priority: pressure.get_shed_share(now)
            for priority, pressure in self._classes.items()
        }
        return {
            priority: share for priority, share in shares.items() if share > 0
        }

    def is_confirmed(self, now: float) -> bool:
        """Return whether fresh samples of several sources found no room.

        A request that is reviewed repeatedly, or one peer, is one source.
        Only then does the pressure on a service apply to a request for which
        no fresh forecast is known.

        :param now: current moment on the monotonic clock.
        """
        return len(self._recent) == MIN_CONFIRMATIONS and all(
            sample.ratio > 0 and now - sample.observed_at <= EVIDENCE_TTL_S
            for sample in self._recent.values()
        )

    def get_age(self, now: float) -> float:
        """Return the age of the newest evidence in seconds.

        :param now: current moment on the monotonic clock.
        """
        newest = max(
            (pressure.observed_at for pressure in self._classes.values()),
            default=-math.inf,
        )
        return now - newest

    def list_local_samples(self, now: float) -> list[PressureSample]:
        """Return the fresh samples of this daemon, one for each priority.

        Samples of peers are not passed on, as they would count repeatedly.

        :param now: current moment on the monotonic clock.
        """
        return [
            sample
            for sample in self._local.values()
            if now - sample.observed_at <= EVIDENCE_TTL_S
        ]

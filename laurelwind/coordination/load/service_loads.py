"""What a daemon has learned of the load of one service."""

import math
from collections import deque
from collections.abc import Sequence
from typing import Final

from attrs import define, field

from laurelwind.coordination.load.answer_lengths import AnswerLengths
from laurelwind.coordination.load.batches import BatchStatistics
from laurelwind.coordination.load.event_times import EventTimes
from laurelwind.coordination.load.step_classes import ClassDemand, StepClass
from laurelwind.coordination.load.token_statistics import TokenMoments
from laurelwind.protocol.exchanges import LoadReport
from laurelwind.protocol.load_reports import SharedClass

# Time after the last report of a pace for which a service counts as one whose
# endpoints report it.
PACED_TTL_S: Final = 30.0
# Weight of each report in the averages over the endpoints of a service.
USUAL_WEIGHT: Final = 0.02
# First events from which the time to read prompts is learned, the fewest, the
# quantile that counts (others waited in a queue), and its bounds.
_MAX_PREFILLS: Final = 48
_MIN_PREFILLS: Final = 8
PREFILL_QUANTILE: Final = 0.25
MIN_PREFILL_RATIO: Final = 0.05
MAX_PREFILL_RATIO: Final = 5.0
# Prompts that are read faster tell nothing of the time that prompts take.
MIN_PREFILL_S: Final = 0.05


def _build_event_times() -> dict[StepClass, EventTimes]:
    return {step_class: EventTimes() for step_class in StepClass}


def _build_batches() -> dict[StepClass, BatchStatistics]:
    return {step_class: BatchStatistics() for step_class in StepClass}


@define(kw_only=True)
class ServiceLoad:
    """Learned rates of the endpoints of one service, all at the usual pace.

    :ivar lengths: lengths of answers.
    :ivar event_times: seconds per event, by class of the endpoint.
    :ivar demand: demand by class.
    :ivar batches: usual state of the endpoints, by class.
    :ivar prefill_ratio: seconds to read a prompt, relative to the estimate.
    :ivar usual_slowdown: slowdown of its endpoints, on average.
    :ivar usual_requests: requests at one of its endpoints, on average.
    :ivar usual_prefill_s: seconds to read the prompt of a request, on average.
    :ivar paced_at: moment of the last report of a pace, or minus infinity.
    :ivar used_at: moment of the last request.
    """

    lengths: AnswerLengths = field(factory=AnswerLengths)
    event_times: dict[StepClass, EventTimes] = field(factory=_build_event_times)
    demand: ClassDemand = field(factory=ClassDemand)
    batches: dict[StepClass, BatchStatistics] = field(factory=_build_batches)
    prefill_ratio: float = 1.0
    usual_slowdown: float = 1.0
    usual_requests: float = 0
    usual_prefill_s: float = 0
    paced_at: float = -math.inf
    used_at: float = 0
    _prefill_ratios: deque[float] = field(
        factory=lambda: deque(maxlen=_MAX_PREFILLS), init=False
    )

    def is_paced(self, now: float) -> bool:
        """Return whether the endpoints of the service report their pace.

        :param now: the current moment.
        """
        return now - self.paced_at <= PACED_TTL_S

    def record_report(self, report: LoadReport) -> None:
        """Apply the report of an endpoint that states its pace.

        :param report: the report.
        """
        slowdown = report.slowdown or 1
        requests = report.running + report.waiting
        self.usual_slowdown += (slowdown - self.usual_slowdown) * USUAL_WEIGHT
        self.usual_requests += (requests - self.usual_requests) * USUAL_WEIGHT

    def record_prompt(self, prefill_s: float) -> None:
        """Apply the prompt of a request that this daemon sends.

        :param prefill_s: seconds to read it, at the usual pace.
        """
        before_s = self.usual_prefill_s or prefill_s
        self.usual_prefill_s = before_s + (prefill_s - before_s) * USUAL_WEIGHT

    def record_first_event(self, waited_s: float, prefill_s: float) -> None:
        """Learn from a first event how long prompts take to read.

        :param waited_s: seconds since sending, divided by the slowdown.
        :param prefill_s: estimated prefill time of the prompt, in seconds.
        """
        if prefill_s < MIN_PREFILL_S:
            return
        self._prefill_ratios.append(waited_s / prefill_s)
        if len(self._prefill_ratios) < _MIN_PREFILLS:
            return
        ratios = sorted(self._prefill_ratios)
        ratio = ratios[int(len(ratios) * PREFILL_QUANTILE)]
        self.prefill_ratio = min(
            max(ratio, MIN_PREFILL_RATIO), MAX_PREFILL_RATIO
        )

    def measure_classes(self) -> Sequence[SharedClass]:
        """Return what this daemon measured, for other daemons."""
        shares = self.demand.measure()
        moments = {
            step_class: self.batches[step_class].tokens.measure()
            for step_class in StepClass
        }
        return [
            SharedClass(
                share=shares.get(step_class, 0),
                tokens=moments[step_class].mean,
                deviation=moments[step_class].deviation,
            )
            for step_class in StepClass
        ]

    def record_remote_classes(
        self, classes: Sequence[SharedClass], now: float
    ) -> None:
        """Apply what another daemon measured.

        :param classes: its measurements, most costly class first.
        :param now: the current moment.
        """
        by_class = dict(zip(StepClass, classes, strict=False))
        self.demand.record_remote(
            {step_class: one.share for step_class, one in by_class.items()},
            now,
        )
        for step_class, one in by_class.items():
            self.batches[step_class].tokens.record_remote(
                TokenMoments(mean=one.tokens, deviation=one.deviation), now
            )

    def estimate_event(
        self, step_classes: tuple[StepClass | None, ...], running: float
    ) -> float:
        """Estimate the seconds per event in a batch that holds these classes.

        It is zero while nothing is known.

        :param step_classes: classes in the batch; ``None`` for any.
        :param running: requests of the batch.
        """
        estimates_s = [
            self.event_times[step_class].estimate(running)
            for step_class in step_classes
            if step_class is not None
        ]
        return max(estimates_s, default=0) or max(
            times.mean_s for times in self.event_times.values()
        )

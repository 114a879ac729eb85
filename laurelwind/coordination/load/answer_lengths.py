"""Lengths of answers, learned from those that ended."""

from collections import deque
from collections.abc import Sequence
from typing import Final

from attrs import define, field

# Answers of a route from which its lengths are derived, and the fewest.
_MAX_SAMPLES: Final = 64
_MIN_SAMPLES: Final = 4
# Routes whose lengths are kept; the one that was least recently new is dropped.
MAX_ROUTES: Final = 64


def _build_samples() -> deque[float]:
    return deque(maxlen=_MAX_SAMPLES)


@define(kw_only=True)
class AnswerLengths:
    """Events per answer by route, and tokens per event, of one service.

    Callers estimate tokens, while streams count events.  The ratio is the
    median over answers that had an estimate: estimates are right at the median.

    :ivar tokens_per_event: the ratio, or zero while it is unknown.
    """

    tokens_per_event: float = 0
    _ratios: deque[float] = field(factory=_build_samples, init=False)
    _events: dict[str, deque[float]] = field(factory=dict, init=False)

    def record(self, route: str, events: int, hinted_tokens: int) -> None:
        """Record a complete answer.

        :param route: name of the route.
        :param events: events of the answer, above zero.
        :param hinted_tokens: the caller's estimate, or zero.
        """
        if route not in self._events:
            if len(self._events) >= MAX_ROUTES:
                self._events.pop(next(iter(self._events)))
            self._events[route] = _build_samples()
        self._events[route].append(events)
        if hinted_tokens:
            self._ratios.append(hinted_tokens / events)
            if len(self._ratios) >= _MIN_SAMPLES:
                self.tokens_per_event = _get_median(self._ratios)

    def estimate_events(
        self, route: str, hinted_tokens: int, sent_events: int = 0
    ) -> float:
        """Estimate the events of an answer, zero while nothing is known.

        An answer that is longer than its caller's estimate is judged by the
        longer ones of its route.

        :param route: name of the route.
        :param hinted_tokens: the caller's estimate, or zero.
        :param sent_events: events that the caller has already.
        """
        if hinted_tokens and self.tokens_per_event:
            hinted_events = hinted_tokens / self.tokens_per_event
            if hinted_events > sent_events:
                return hinted_events
        samples = self._events.get(route, ())
        longer = [events for events in samples if events > sent_events]
        if len(longer) < _MIN_SAMPLES:
            return 0
        return _get_median(longer)

    def convert_to_tokens(self, events: float) -> int:
        """Convert events to tokens; one each while the ratio is unknown."""
        return round(events * (self.tokens_per_event or 1))

    def convert_to_events(self, tokens: float) -> float:
        """Convert tokens to events; one each while the ratio is unknown."""
        return tokens / (self.tokens_per_event or 1)


def _get_median(samples: Sequence[float]) -> float:
    return sorted(samples)[len(samples) // 2]

"""Prometheus metrics of a relay daemon."""

import contextlib
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.metrics_core import GaugeMetricFamily
from prometheus_client.registry import Collector

_LATENCY_BUCKETS_S: Final = (0.01, 0.03, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10, 20)


class GaugeCollector(Collector):
    """Gauges whose values are read at each scrape."""

    def __init__(self) -> None:
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []

    def add(
        self, name: str, help_text: str, read_value: Callable[[], float]
    ) -> None:
        """Add a gauge.

        :param name: name of the metric.
        :param help_text: help text of the metric.
        :param read_value: returns the current value.
        """
        self._gauges.append((name, help_text, read_value))

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Read all gauges."""
        for name, help_text, read_value in self._gauges:
            yield GaugeMetricFamily(name, help_text, value=read_value())


class RelayMetrics:
    """Prometheus metrics of a relay daemon; label cardinality is bounded."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._gauges = GaugeCollector()
        # Scrapes may be cut at a size, so what is short comes first.
        self.registry.register(self._gauges)
        self._store_calls = Counter(
            'laurelwind_store_calls',
            'Calls of the store, by kind and by what came of them.',
            ('call', 'outcome'),
            registry=self.registry,
        )
        self.decisions = Counter(
            'laurelwind_decisions',
            'Decisions by event, whether their log line went out or not.',
            ('event',),
            registry=self.registry,
        )
        self.refusals = Counter(
            'laurelwind_refusals',
            'Requests refused or failed, by kind of error.',
            ('kind',),
            registry=self.registry,
        )
        self.permits = Counter(
            'laurelwind_permits',
            'Permits for endpoints with a rate limit, by outcome of the ask.',
            ('outcome',),
            registry=self.registry,
        )
        self.cold_permits = Counter(
            'laurelwind_cold_permits',
            'Permits for cold endpoints, by outcome of the ask.',
            ('outcome',),
            registry=self.registry,
        )
        self.load_decisions = Counter(
            'laurelwind_load_decisions',
            'Requests by outcome and reason of the load decision.',
            ('outcome', 'reason'),
            registry=self.registry,
        )
        self._departures = Counter(
            'laurelwind_departures',
            'Names that have left, by what they name.',
            ('subject',),
            registry=self.registry,
        )
        self.cut_answers = Counter(
            'laurelwind_cut_answers',
            'Answers that this daemon ended before they were complete.',
            ('reason',),
            registry=self.registry,
        )
        self.ended_connections = Counter(
            'laurelwind_ended_connections',
            'Connections of callers ended at a limit, by limit.',
            ('reason',),
            registry=self.registry,
        )
        self.answer_seconds = Histogram(
            'laurelwind_answer_seconds',
            'Seconds until the whole answer was passed on, by route.',
            ('route',),
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.first_event_seconds = Histogram(
            'laurelwind_first_event_seconds',
            'Seconds until the first event of a stream was passed on.',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.longest_gap_seconds = Histogram(
            'laurelwind_longest_gap_seconds',
            'Longest pause between two events of a stream.',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = Histogram(
            'laurelwind_attempts',
            'Endpoints that an answered request was sent to.',
            buckets=(1, 2, 3, 4),
            registry=self.registry,
        )

    def count_store_call(self, call: str, outcome: str) -> None:
        """Count a call of the store.

        :param call: path of the call, without the leading slash.
        :param outcome: HTTP status, or the name of the exception raised.
        """
        self._store_calls.labels(call, outcome).inc()

    def count_load_decision(self, outcome: str, reason: str) -> None:
        """Count a load decision.

        :param outcome: what happens to the request.
        :param reason: why.
        """
        self.load_decisions.labels(outcome, reason).inc()

    def count_departures(self, subject: str, count: int) -> None:
        """Count names that left.

        :param subject: what they name.
        :param count: number of names.
        """
        self._departures.labels(subject).inc(count)

    def discard_routes(self, names: Iterable[str]) -> None:
        """Discard the time series of routes that were removed.

        :param names: names of the routes.
        """
        for name in names:
            with contextlib.suppress(KeyError):
                self.answer_seconds.remove(name)

    def add_gauge(
        self, name: str, help_text: str, read_value: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read at each scrape.

        :param name: name of the metric.
        :param help_text: help text of the metric.
        :param read_value: returns the current value.
        """
        self._gauges.add(name, help_text, read_value)

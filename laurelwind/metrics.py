"""Prometheus metrics of a daemon, in a registry per daemon."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_FIRST_PART_BUCKETS_S: Final = (
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.35,
    0.5,
    0.75,
    1.1,
    2,
    5,
    10,
)
_APPEND_BUCKETS_S: Final = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5)


class Metrics:
    """Prometheus metrics of a daemon."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'laurelwind_requests',
            'Requests answered, by workspace, what answered and outcome.',
            ('workspace', 'reference', 'outcome'),
            registry=self.registry,
        )
        self.errors = Counter(
            'laurelwind_errors',
            'Error answers by kind.',
            ('kind',),
            registry=self.registry,
        )
        self.attempts = Counter(
            'laurelwind_endpoint_attempts',
            'Attempts at endpoints by pool and outcome.',
            ('pool', 'outcome'),
            registry=self.registry,
        )
        self.escalations = Counter(
            'laurelwind_escalations',
            'Answers replaced by a dearer version, by cause.',
            ('cause',),
            registry=self.registry,
        )
        self.claims = Counter(
            'laurelwind_claims',
            'Claims asked for, by outcome.',
            ('outcome',),
            registry=self.registry,
        )
        self.peer_messages = Counter(
            'laurelwind_peer_messages',
            'Messages to and from peers by type and direction.',
            ('type', 'direction'),
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            'laurelwind_peer_bytes',
            'Bytes to and from peers by type and direction.',
            ('type', 'direction'),
            registry=self.registry,
        )
        self.appends = Counter(
            'laurelwind_log_appends',
            'Appends to the log by stream and outcome.',
            ('stream', 'outcome'),
            registry=self.registry,
        )
        self.append_seconds = Histogram(
            'laurelwind_log_append_seconds',
            'Seconds that an append took.',
            buckets=_APPEND_BUCKETS_S,
            registry=self.registry,
        )
        self.first_part_seconds = Histogram(
            'laurelwind_first_part_seconds',
            'Seconds until the first part was passed to the caller.',
            buckets=_FIRST_PART_BUCKETS_S,
            registry=self.registry,
        )
        self.in_flight = Gauge(
            'laurelwind_requests_in_flight',
            'Requests being served now.',
            registry=self.registry,
        )
        self.charge_backlog = Gauge(
            'laurelwind_charge_backlog',
            'Charges that are not safe yet.',
            registry=self.registry,
        )
        self.configuration_offset = Gauge(
            'laurelwind_configuration_offset',
            'Offset of the configuration in force.',
            registry=self.registry,
        )
        self.quarantined = Gauge(
            'laurelwind_versions_quarantined',
            'Versions that this daemon keeps from callers.',
            registry=self.registry,
        )

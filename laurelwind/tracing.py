"""Tracing: a span for each hop, in a bounded in-memory store."""

import importlib
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final

from attrs import frozen
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_NS_PER_MS: Final = 1_000_000
_HEX_BASE: Final = 16
# Imported only if an OTLP URL is set, since it takes 4 MB of memory.
_EXPORTER: Final = 'opentelemetry.exporter.otlp.proto.http.trace_exporter'
_DEFAULT_CAPACITY: Final = 2000
_MAX_SPANS_PER_TRACE: Final = 64
_TRACEPARENT: Final = 'traceparent'
_PROPAGATOR: Final = TraceContextTextMapPropagator()


@frozen(kw_only=True)
class SpanSummary:
    """Span of one hop of a request.

    :ivar name: operation of the span.
    :ivar span_id: span id in hex.
    :ivar parent_id: id of the parent span in hex, or an empty string.
    :ivar started_at: start in seconds since the epoch.
    :ivar duration_ms: duration in milliseconds.
    :ivar attributes: span attributes, as strings.
    """

    name: str
    span_id: str
    parent_id: str
    started_at: float
    duration_ms: float
    attributes: Mapping[str, str]


class SpanStore(SpanProcessor):
    """In-memory store of the spans of the latest traces.

    :param capacity: maximum number of traces; the oldest are evicted first.
    """

    def __init__(self, *, capacity: int = _DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._traces: OrderedDict[int, list[ReadableSpan]] = OrderedDict()

    def on_end(self, span: ReadableSpan) -> None:
        """Store a finished span.

        :param span: the span; dropped if its trace has too many already.
        """
        context = span.context
        if context is None:
            return
        spans = self._traces.get(context.trace_id)
        if spans is None:
            spans = []
            self._traces[context.trace_id] = spans
            if len(self._traces) > self._capacity:
                self._traces.popitem(last=False)
        if len(spans) < _MAX_SPANS_PER_TRACE:
            spans.append(span)

    def find(self, trace_id: str) -> Sequence[SpanSummary]:
        """Return the spans of a trace, oldest first.

        :param trace_id: trace id in hex.
        """
        try:
            numeric_id = int(trace_id, _HEX_BASE)
        except ValueError:
            return ()
        spans = sorted(
            self._traces.get(numeric_id, ()),
            key=lambda span: span.start_time or 0,
        )
        return tuple(_build_summary(span) for span in spans)


class Tracing:
    """Tracer of a daemon.

    :param name: name of the daemon.
    :param otlp_url: URL of an OTLP collector, or an empty string for none.
    :param capacity: maximum number of traces in memory.
    """

    def __init__(
        self,
        *,
        name: str,
        otlp_url: str = '',
        capacity: int = _DEFAULT_CAPACITY,
    ) -> None:
        resource = Resource({'service.name': 'laurelwindd', 'host.name': name})
        self.store = SpanStore(capacity=capacity)
        self._provider = TracerProvider(
            resource=resource,
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(self.store)
        if otlp_url:
            exporter = importlib.import_module(_EXPORTER)
            self._provider.add_span_processor(
                BatchSpanProcessor(exporter.OTLPSpanExporter(endpoint=otlp_url))
            )
        self.tracer: trace.Tracer = self._provider.get_tracer('laurelwind')

    def close(self) -> None:
        """Export the remaining spans and shut down."""
        self._provider.shutdown()


def extract_trace_context(headers: Mapping[str, str]) -> Context | None:
    """Extract the W3C trace context from headers, or ``None`` if absent.

    :param headers: headers by name in lower case.
    """
    if _TRACEPARENT not in headers:
        return None
    return _PROPAGATOR.extract(headers)


def format_traceparent() -> str:
    """Format the ``traceparent`` header of the current span."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get(_TRACEPARENT, '')


def format_trace_id(span: trace.Span) -> str:
    """Return the trace id of a span in hex.

    :param span: the span.
    """
    return trace.format_trace_id(span.get_span_context().trace_id)


def _build_summary(span: ReadableSpan) -> SpanSummary:
    context = span.get_span_context()
    started_ns = span.start_time or 0
    ended_ns = span.end_time or started_ns
    parent = span.parent
    return SpanSummary(
        name=span.name,
        span_id=''
        if context is None
        else trace.format_span_id(
            context.span_id,
        ),
        parent_id=''
        if parent is None
        else trace.format_span_id(
            parent.span_id,
        ),
        started_at=started_ns / (_NS_PER_MS * 1000),
        duration_ms=(ended_ns - started_ns) / _NS_PER_MS,
        attributes={
            name: str(attribute)
            for name, attribute in (span.attributes or {}).items()
        },
    )

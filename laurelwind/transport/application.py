"""The ASGI application shared by the caller and operator interfaces."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final

from attrs import field, frozen
from starlette.routing import Route as HttpRoute
from starlette.routing import Router as HttpRouter
from starlette.types import ASGIApp, Receive, Scope, Send

from laurelwind.errors import CallerError, ErrorKind, LaurelwindError
from laurelwind.events import log_traceback
from laurelwind.metrics import Metrics
from laurelwind.state.identity import create_identifier
from laurelwind.tracing import Tracing, extract_trace_context, format_trace_id
from laurelwind.transport.caller_exchange import CallerExchange
from laurelwind.transport.drainable import (
    DrainableApplication,
    TruncatedAnswerError,
    build_stop_error,
)

RequestHandler = Callable[[CallerExchange], Awaitable[None]]

ANY_METHOD: Final = '*'


@frozen(kw_only=True)
class Resource:
    """A path and the handlers of its HTTP methods.

    :ivar path: the path, with parameters in braces.
    :ivar methods: handlers by HTTP method, or ``*`` for every method.
    :ivar span_name: name of the tracing span, or an empty string for none.
    :ivar answers: class of the answer by method, where it is a class.
    :ivar query_names: names of the query parameters.
    :ivar requires_key: whether requests must carry a key.
    """

    path: str
    methods: Mapping[str, RequestHandler]
    span_name: str = ''
    answers: Mapping[str, type] = field(factory=dict)
    query_names: Sequence[str] = ()
    requires_key: bool = True


class Application(DrainableApplication):
    """Routes requests to resources, answers errors and records spans.

    :param resources: the resources to serve.
    :param metrics: counts errors by kind.
    :param tracing: records a span for each request of a traced resource.
    """

    def __init__(
        self,
        *,
        resources: Sequence[Resource],
        metrics: Metrics,
        tracing: Tracing,
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self._tracing = tracing
        self._router = HttpRouter(
            routes=[
                HttpRoute(
                    resource.path, endpoint=self._build_application(resource)
                )
                for resource in resources
            ],
            redirect_slashes=False,
            default=self._build_application(
                Resource(path='', methods={ANY_METHOD: _reject_unknown_path}),
            ),
        )

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request.

        :param scope: ASGI connection scope.
        :param receive: ASGI callable that returns the next event.
        :param send: ASGI callable that sends an event of the answer.
        """
        if scope['type'] == 'http':
            await self._router(scope, receive, send)

    def _build_application(self, resource: Resource) -> ASGIApp:
        return _ResourceApplication(
            resource=resource,
            drainable=self,
            metrics=self._metrics,
            tracing=self._tracing,
        )


class _ResourceApplication:
    """ASGI application that serves one resource."""

    def __init__(
        self,
        *,
        resource: Resource,
        drainable: DrainableApplication,
        metrics: Metrics,
        tracing: Tracing,
    ) -> None:
        self._resource = resource
        self._drainable = drainable
        self._metrics = metrics
        self._tracing = tracing

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        exchange = CallerExchange(
            scope=scope,
            receive=receive,
            send=send,
            request_id=create_identifier(),
        )
        exchange.closes_connection = self._drainable.is_draining
        if not self._resource.span_name:
            await self._serve_until_stop(exchange)
            return
        span = self._tracing.tracer.start_as_current_span(
            self._resource.span_name,
            context=extract_trace_context(exchange.headers),
            attributes={'request_id': exchange.request_id},
            record_exception=False,
        )
        with span as current:
            trace_id = format_trace_id(current).encode()
            exchange.extra_headers.append((b'x-trace-id', trace_id))
            await self._serve_until_stop(exchange)

    async def _serve_until_stop(self, exchange: CallerExchange) -> None:
        with self._drainable.exchanges.track(exchange) as work:
            with work:
                await self._serve(exchange)
            if not work.cancelled_caught or exchange.is_complete:
                return
            if exchange.has_begun and exchange.has_length:
                raise TruncatedAnswerError
            await self._send_error(exchange, build_stop_error(exchange))

    async def _serve(self, exchange: CallerExchange) -> None:
        methods = self._resource.methods
        serve_method = methods.get(exchange.method, methods.get(ANY_METHOD))
        try:
            self._drainable.check_open()
            if serve_method is None:
                names = ', '.join(sorted(methods))
                raise CallerError(
                    ErrorKind.METHOD_UNKNOWN,
                    f'method not allowed; use one of {names}',
                )
            await serve_method(exchange)
        except LaurelwindError as error:
            await self._send_error(exchange, error)
        except Exception:
            log_traceback()
            await self._send_error(
                exchange,
                LaurelwindError(
                    ErrorKind.INTERNAL, 'unexpected internal error'
                ),
            )

    async def _send_error(
        self,
        exchange: CallerExchange,
        error: LaurelwindError,
    ) -> None:
        self._metrics.errors.labels(error.kind).inc()
        await exchange.send_error(error)


async def _reject_unknown_path(exchange: CallerExchange) -> None:
    raise CallerError(
        ErrorKind.ROUTE_UNKNOWN,
        'no resource at this path',
    )

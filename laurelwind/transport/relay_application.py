"""ASGI application that receives callers' requests for the relay."""

from collections.abc import Callable

import anyio
from attrs import evolve
from starlette.types import Receive, Scope, Send

from laurelwind.coordination.relay import Relay
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ErrorKind, LaurelwindError
from laurelwind.protocol.exchanges import HeaderCodec, RelayRequest
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.state.load import read_monotonic_clock
from laurelwind.transport.caller_exchange import CallerExchange
from laurelwind.transport.drainable import (
    DrainableApplication,
    TruncatedAnswerError,
    build_stop_error,
)
from laurelwind.transport.exchange_answer import ExchangeAnswer
from laurelwind.transport.request_outcomes import CutReason, RequestOutcomes


class RelayApplication(DrainableApplication):
    """Decodes callers' requests, and answers those that fail.

    :param relay: serves the requests.
    :param codec: decodes request headers.
    :param log: decision log.
    :param metrics: counts error answers.
    :param read_body_limit: returns the maximum size of a request body in
        bytes.
    """

    def __init__(
        self,
        *,
        relay: Relay,
        codec: HeaderCodec,
        log: DecisionLog,
        metrics: RelayMetrics,
        read_body_limit: Callable[[], int],
    ) -> None:
        super().__init__()
        self._relay = relay
        self._codec = codec
        self._log = log
        self._outcomes = RequestOutcomes(
            log=log, metrics=metrics, is_stopping=lambda: self.is_draining
        )
        self._read_body_limit = read_body_limit

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request.

        :param scope: ASGI scope of the request.
        :param receive: ASGI callable that returns the next message of the
            request.
        :param send: ASGI callable that sends a message of the answer.
        """
        request = self._read_request(scope)
        exchange = CallerExchange(
            scope=scope,
            receive=receive,
            send=send,
            request_id=request.request_id,
        )
        exchange.closes_connection = self.is_draining
        answer = ExchangeAnswer(
            exchange=exchange,
            request=request,
            arrived_at=read_monotonic_clock(),
        )
        with self.exchanges.track(exchange) as work:
            with work:
                await self._receive_and_serve(answer)
            if work.cancelled_caught and not exchange.is_complete:
                await self._end_at_stop(answer)
        if exchange.is_truncated:
            raise TruncatedAnswerError

    async def _receive_and_serve(self, answer: ExchangeAnswer) -> None:
        exchange = answer.exchange
        try:
            body = await self._read_body(exchange)
        except LaurelwindError as error:
            if exchange.has_left:
                self._outcomes.record_caller_left(answer)
                return
            exchange.closes_connection = True
            await self._handle_error(answer, error)
            return
        if body:
            answer.request = evolve(answer.request, body=body)
        is_served = False
        async with anyio.create_task_group() as group:
            group.start_soon(
                _cancel_on_disconnect, exchange, group.cancel_scope
            )
            await self._serve(answer)
            is_served = True
            group.cancel_scope.cancel()
        if not is_served:
            self._outcomes.record_caller_left(answer)

    async def _serve(self, answer: ExchangeAnswer) -> None:
        try:
            await self._relay.serve(answer.request, answer, answer.arrived_at)
        except LaurelwindError as error:
            await self._handle_error(answer, error)
        except Exception as error:
            self._log.log_warning(
                'failed_inside',
                request=answer.request.request_id,
                reason=repr(error),
            )
            await self._handle_error(
                answer, LaurelwindError(ErrorKind.INTERNAL, 'internal error')
            )

    async def _end_at_stop(self, answer: ExchangeAnswer) -> None:
        """End an exchange whose time is up as the daemon stops."""
        exchange = answer.exchange
        if exchange.has_begun:
            self._outcomes.record_cut(
                answer,
                CutReason.STOPPING,
                detail='the daemon stopped before the answer was complete',
            )
            exchange.is_truncated = True
            return
        await self._handle_error(answer, build_stop_error(exchange))

    async def _handle_error(
        self, answer: ExchangeAnswer, error: LaurelwindError
    ) -> None:
        exchange = answer.exchange
        self._outcomes.record_error(answer, error)
        if exchange.has_begun:
            exchange.is_truncated = True
            return
        headers = []
        if error.retry_after_s is not None and error.status in {429, 503}:
            seconds = f'{error.retry_after_s:.2f}'
            headers.append((b'retry-after', seconds.encode()))
        await exchange.send_json(
            {'error': error.build_answer(exchange.request_id)},
            status=error.status,
            headers=headers,
        )

    async def _read_body(self, exchange: CallerExchange) -> bytes:
        self.check_open()
        body = await exchange.read_body(self._read_body_limit())
        # The daemon may have begun to refuse requests in the meantime.
        self.check_open()
        return body

    def _read_request(self, scope: Scope) -> RelayRequest:
        target: bytes = scope['raw_path']
        query: bytes = scope.get('query_string', b'')
        if query:
            target = b'%s?%s' % (target, query)
        return self._codec.decode_request(
            scope['method'], target, scope['headers'], b''
        )


async def _cancel_on_disconnect(
    exchange: CallerExchange, scope: anyio.CancelScope
) -> None:
    await exchange.wait_for_disconnect()
    scope.cancel()

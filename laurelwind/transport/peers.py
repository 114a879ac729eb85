"""Requests and answers between daemons over pynng.

A fixed number of tasks answers requests concurrently.  A connection is opened
by the first request to a peer, and the least recently used one is closed when
there are too many.  After a time-out the next request to the peer uses a new
connection, because the old one may never answer again.
"""

from collections import OrderedDict
from collections.abc import Awaitable, Mapping
from typing import Any, Final

import anyio
import pynng
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint
from anyio.to_thread import run_sync

from laurelwind.errors import ErrorKind, LaurelwindError, PeerError
from laurelwind.events import log_event, log_traceback
from laurelwind.metrics import Metrics
from laurelwind.protocol.envelope import Envelope, EnvelopeSigner
from laurelwind.protocol.messages import Message, Refusal
from laurelwind.protocol.peer_network import MessageHandler, PeerNetwork
from laurelwind.state.load import read_monotonic_clock
from laurelwind.tracing import (
    Tracing,
    extract_trace_context,
    format_traceparent,
)
from laurelwind.transport.limits.machine import derive_limits
from laurelwind.transport.peer_connections import PeerConnections

_MAX_CONCURRENT_ANSWERS: Final = 64
_MAX_PEERS: Final = 64
_RECONNECT_INTERVAL_MS: Final = 86_400_000
_MIN_CLOSE_AGE_S: Final = 0.5
_MAX_MESSAGE_BYTES: Final = 16_777_216
_OUTBOUND: Final = 'out'
_INBOUND: Final = 'in'


async def _await_operation(operation: Awaitable[Any]) -> Any:
    """Await an operation of pynng.

    pynng ends a cancelled operation with its own exception, which anyio does
    not recognise as a cancellation; the checkpoint raises the proper one.
    """
    try:
        return await operation
    except anyio.get_cancelled_exc_class():
        await checkpoint()
        raise PeerError(
            ErrorKind.PEER_UNAVAILABLE, 'the operation was cancelled'
        ) from None


class _Connection:
    """A socket to one peer that can be closed once no request is in flight."""

    def __init__(self, *, address: str) -> None:
        self._socket = pynng.Req0(
            resend_time=-1,
            reconnect_time_min=_RECONNECT_INTERVAL_MS,
            reconnect_time_max=_RECONNECT_INTERVAL_MS,
            recv_max_size=_MAX_MESSAGE_BYTES,
        )
        self._socket.dial(f'tcp://{address}', block=False)
        self._opened_at = read_monotonic_clock()
        self._in_flight = 0
        self._request_ended = anyio.Event()

    async def exchange(self, raw: bytes, timeout_s: float) -> bytes:
        """Send a request and wait for its answer."""
        self._in_flight += 1
        context = self._socket.new_context()
        try:
            with anyio.fail_after(timeout_s):
                await _await_operation(context.asend(raw))
                answer: bytes = await _await_operation(context.arecv())
        finally:
            self._release(context)
        return answer

    async def close(self) -> None:
        """Close the socket in a thread, because closing blocks.

        pynng aborts the process when a socket is closed while its resolver is
        still resolving the address, so a new socket is closed only after a
        delay, and the reconnect interval of one day rules out new dials.
        The shield keeps a stop from abandoning the socket half-way.
        """
        age = read_monotonic_clock() - self._opened_at
        with anyio.CancelScope(shield=True):
            await anyio.sleep(max(_MIN_CLOSE_AGE_S - age, 0))
            await run_sync(self._socket.close)

    async def close_when_unused(self) -> None:
        """Close the socket once no request is in flight."""
        while self._in_flight:
            await self._request_ended.wait()
        await self.close()

    def _release(self, context: Any) -> None:
        context.close()
        self._in_flight -= 1
        self._request_ended.set()
        self._request_ended = anyio.Event()


class NngPeerNetwork(PeerNetwork):
    """Peer network over TCP.

    :param address: ``host:port`` to listen on; port zero selects a free port.
    :param signer: signs and verifies messages.
    :param metrics: counts messages and bytes.
    :param tracing: records a span for each answered request that carries a
        trace context.
    :param max_connections: most connections that peers may open; by default
        the share of the descriptors that a relay has for endpoints.
    :ivar inbound: the connections that peers have opened.
    """

    def __init__(
        self,
        *,
        address: str,
        signer: EnvelopeSigner,
        metrics: Metrics,
        tracing: Tracing,
        max_connections: int | None = None,
    ) -> None:
        self._signer = signer
        self._metrics = metrics
        self._tracing = tracing
        self._handlers: Mapping[type[Message], MessageHandler] = {}
        self._connections: OrderedDict[str, _Connection] = OrderedDict()
        self._group: TaskGroup | None = None
        self._scope = anyio.CancelScope()
        self._stopped = anyio.Event()
        self._listener = pynng.Rep0(recv_max_size=_MAX_MESSAGE_BYTES)
        self.inbound = PeerConnections(
            limit=max_connections or derive_limits().endpoint_connections
        )
        self.inbound.watch(self._listener)
        self._listener.listen(f'tcp://{address}')

    @property
    def address(self) -> str:
        """``host:port`` of the listening socket."""
        return str(self._listener.listeners[0].local_address)

    def register_handlers(
        self, handlers: Mapping[type[Message], MessageHandler]
    ) -> None:
        """Set the functions that answer messages; see :class:`PeerNetwork`."""
        self._handlers = dict(handlers)

    def start(self, group: TaskGroup) -> None:
        """Start to answer requests.

        :param group: task group of the daemon.
        """
        group.start_soon(self._serve)

    async def close(self) -> None:
        """Stop answering, and close the listener and every connection."""
        self._scope.cancel()
        await self._stopped.wait()
        await run_sync(self._listener.close)
        async with anyio.create_task_group() as group:
            for connection in self._connections.values():
                group.start_soon(connection.close)

    async def send_request(
        self, address: str, message: Message, timeout_s: float
    ) -> Message:
        """Send a request to another daemon; see :class:`PeerNetwork`."""
        raw, nonce = self._signer.sign(
            message, traceparent=format_traceparent()
        )
        name = type(message).__name__
        try:
            answer = await self._get_connection(address).exchange(
                raw, timeout_s
            )
        except (TimeoutError, pynng.NNGException) as error:
            self._drop_connection(address)
            raise PeerError(
                ErrorKind.PEER_UNAVAILABLE,
                f'no answer from the peer ({type(error).__name__})',
            ) from error
        self._count_message(name, _OUTBOUND, len(raw))
        self._count_message(name, _INBOUND, len(answer))
        return self._signer.verify_answer(answer, nonce).message

    def _get_connection(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            connection = _Connection(address=address)
            self._connections[address] = connection
            if len(self._connections) > _MAX_PEERS:
                self._drop_connection(next(iter(self._connections)))
        self._connections.move_to_end(address)
        return connection

    def _drop_connection(self, address: str) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None and self._group is not None:
            self._group.start_soon(connection.close_when_unused)

    async def _serve(self) -> None:
        try:
            with self._scope:
                await self._answer_concurrently()
        finally:
            self._group = None
            self._stopped.set()

    async def _answer_concurrently(self) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            for _ in range(_MAX_CONCURRENT_ANSWERS):
                group.start_soon(self._answer_forever)

    async def _answer_forever(self) -> None:
        context = self._listener.new_context()
        try:
            while True:
                await self._answer_next(context)
        finally:
            context.close()

    async def _answer_next(self, context: Any) -> None:
        raw = await _await_operation(context.arecv())
        answer = await self._answer_request(raw)
        if answer is not None:
            await _await_operation(context.asend(answer))

    async def _answer_request(self, raw: bytes) -> bytes | None:
        try:
            envelope = self._signer.verify_request(raw)
        except PeerError as error:
            log_event('peer_message_refused', reason=error.message)
            return None
        name = type(envelope.message).__name__
        self._count_message(name, _INBOUND, len(raw))
        answer = await self._run_handler(envelope)
        signed_answer, _ = self._signer.sign(answer, nonce=envelope.nonce)
        self._count_message(name, _OUTBOUND, len(signed_answer))
        return signed_answer

    async def _run_handler(self, envelope: Envelope) -> Message:
        message_handler = self._handlers.get(type(envelope.message))
        if message_handler is None:
            return Refusal(reason='unsupported message type')
        try:
            if not envelope.traceparent:
                return await message_handler(envelope.message)
            span = self._tracing.tracer.start_as_current_span(
                'peer',
                context=extract_trace_context(
                    {'traceparent': envelope.traceparent}
                ),
                attributes={'message': type(envelope.message).__name__},
            )
            with span:
                return await message_handler(envelope.message)
        except LaurelwindError as error:
            return Refusal(reason=error.message)
        except Exception:
            log_traceback()
            return Refusal(reason='unexpected internal error')

    def _count_message(self, name: str, direction: str, size: int) -> None:
        self._metrics.peer_messages.labels(name, direction).inc()
        self._metrics.peer_bytes.labels(name, direction).inc(size)

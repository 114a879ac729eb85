"""HTTP interface through which callers use plain services."""

from collections.abc import Sequence
from typing import Final

from laurelwind.coordination.service_calls import ServiceCaller
from laurelwind.coordination.service_requests import ServiceCallRequest
from laurelwind.protocol.endpoints import HeaderPairs, ServiceAnswer
from laurelwind.transport.application import ANY_METHOD, Resource
from laurelwind.transport.caller_exchange import CallerExchange
from laurelwind.transport.caller_handlers import CallerAuthenticator

_TIMEOUT_HEADER: Final = 'x-timeout-s'
_KEY_HEADER: Final = 'idempotency-key'
_FORWARDED_HEADERS: Final = (
    'accept',
    'accept-language',
    'content-type',
    _KEY_HEADER,
)
_DEFAULT_TIMEOUT_S: Final = 30.0


class ServiceHandlers:
    """Handlers of calls to plain services.

    :param authenticator: authenticates callers and counts their requests in
        flight.
    :param caller: runs the calls.
    """

    def __init__(
        self, *, authenticator: CallerAuthenticator, caller: ServiceCaller
    ) -> None:
        self._authenticator = authenticator
        self._caller = caller

    def list_resources(self) -> Sequence[Resource]:
        """List the resources of this interface."""
        return (
            Resource(
                path='/v1/services/{name}/{path:path}',
                methods={ANY_METHOD: self.call_service},
                span_name='entry',
            ),
        )

    async def call_service(self, exchange: CallerExchange) -> None:
        """Forward a call to a plain service.

        :param exchange: exchange with the caller.
        """
        caller = self._authenticator.authenticate(exchange)
        limits = caller.workspace.limits
        timeout = exchange.read_seconds(_TIMEOUT_HEADER) or _DEFAULT_TIMEOUT_S
        request = ServiceCallRequest(
            request_id=exchange.request_id,
            workspace=caller.name,
            service=exchange.path_params['name'],
            method=exchange.method,
            path=f'/{exchange.path_params["path"]}',
            query=exchange.query,
            headers=_select_headers(exchange),
            body=await exchange.read_body(limits.body_bytes),
            idempotency_key=exchange.headers.get(_KEY_HEADER, ''),
            deadline_s=min(timeout, limits.deadline_s),
        )
        with self._authenticator.track_request():
            answer = await self._caller.run(request)
            await send_service_answer(exchange, answer)


async def send_service_answer(
    exchange: CallerExchange,
    answer: ServiceAnswer,
) -> None:
    """Send a service's answer to the caller.

    :param exchange: exchange with the caller.
    :param answer: answer of the service.
    """
    headers = [
        (name.encode('latin-1'), header_value.encode('latin-1'))
        for name, header_value in answer.headers.items()
    ]
    await exchange.send_complete(answer.status, headers, answer.body)


def _select_headers(exchange: CallerExchange) -> HeaderPairs:
    return tuple(
        (name.encode(), exchange.headers[name].encode('latin-1'))
        for name in _FORWARDED_HEADERS
        if name in exchange.headers
    )

"""Resource that serves the OpenAPI document of an interface."""

from collections.abc import Sequence
from typing import Any, Final

from laurelwind.transport.application import Resource
from laurelwind.transport.caller_exchange import CallerExchange
from laurelwind.transport.openapi import build_openapi

TITLE: Final = 'laurelwind administration API'


class _OpenApiHandler:
    """Handler of the OpenAPI document."""

    def __init__(self, *, document: dict[str, Any]) -> None:
        self._document = document

    async def show(self, exchange: CallerExchange) -> None:
        """Return the OpenAPI document of this interface.

        :param exchange: exchange with the caller, who needs no key.
        """
        await exchange.send_json(self._document)


def add_openapi_resource(resources: Sequence[Resource]) -> Sequence[Resource]:
    """List resources together with the one that serves their OpenAPI document.

    :param resources: resources of the interface.
    """
    openapi_handler = _OpenApiHandler(
        document=build_openapi(resources, title=TITLE)
    )
    openapi_resource = Resource(
        path='/openapi.json',
        methods={'GET': openapi_handler.show},
        requires_key=False,
    )
    return (*resources, openapi_resource)

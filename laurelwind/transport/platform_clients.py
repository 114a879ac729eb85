"""HTTP clients of the platform's instance list and rating service."""

from collections.abc import Sequence
from typing import Final

from laurelwind.protocol.platform import (
    InstanceList,
    ListedInstance,
    Rating,
    RatingRequest,
    RatingService,
)
from laurelwind.state.conversion import LENIENT, dump_json
from laurelwind.transport.json_service import JsonService

_INSTANCE_LIST_TIMEOUT_S: Final = 2.0
_MAX_RATING_CONNECTIONS: Final = 200


class HttpInstanceList(InstanceList):
    """Instance list that is reached over HTTP.

    :param address: ``host:port`` of the instance list service.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f'http://{address}/instances'
        self._service = JsonService(name='the instance list')

    async def fetch(self) -> Sequence[ListedInstance]:
        """Fetch the list; see :class:`InstanceList`."""
        answer = await self._service.request(
            'GET', self._url, timeout_s=_INSTANCE_LIST_TIMEOUT_S
        )
        return LENIENT.structure(
            answer['instances'], tuple[ListedInstance, ...]
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._service.close()


class HttpRatingService(RatingService):
    """Rating service that is reached over HTTP.

    :param address: ``host:port`` of the service.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f'http://{address}/ratings'
        self._service = JsonService(
            name='the rating service', max_connections=_MAX_RATING_CONNECTIONS
        )

    async def rate(self, request: RatingRequest, timeout_s: float) -> Rating:
        """Rate one answer; see :class:`RatingService`."""
        answer = await self._service.request(
            'POST', self._url, timeout_s=timeout_s, body=dump_json(request)
        )
        return LENIENT.structure(answer, Rating)

    async def close(self) -> None:
        """Close every connection."""
        await self._service.close()

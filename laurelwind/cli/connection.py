"""Client of a daemon's administration API."""

from collections.abc import Mapping
from typing import Any, Final

import httpcore
import orjson
from attrs import frozen

_TIMEOUT_S: Final = 20.0
_TIMEOUT_NAMES: Final = ('connect', 'read', 'write', 'pool')
_MIN_ERROR_STATUS: Final = 400


class ApiError(Exception):
    """A daemon refused a request or could not be reached.

    :param message: one plain sentence.
    :param faults: details, one line each.
    :param is_refusal: ``False`` if the daemon could not be reached.
    """

    def __init__(
        self,
        message: str,
        *,
        faults: tuple[str, ...] = (),
        is_refusal: bool = True,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.faults = faults
        self.is_refusal = is_refusal


@frozen(kw_only=True)
class AdminApi:
    """Client of the administration API of a daemon.

    :ivar address: ``host:port``, or a URL for TLS.
    :ivar key: operator key.
    """

    address: str
    key: str

    def get(self, path: str) -> Any:
        """Fetch a resource.

        :param path: path and query of the resource.
        :raises ApiError: if the daemon refuses or cannot be reached.
        """
        return self._request('GET', path, b'')

    def send(self, method: str, path: str, body: Mapping[str, Any]) -> Any:
        """Change a resource.

        :param method: HTTP method.
        :param path: path and query of the resource.
        :param body: body of the request, encoded as JSON.
        :raises ApiError: if the daemon refuses or cannot be reached.
        """
        return self._request(method, path, orjson.dumps(body))

    def _request(self, method: str, path: str, body: bytes) -> Any:
        base_url = self.address
        if '://' not in base_url:
            base_url = f'http://{base_url}'
        timeouts = dict.fromkeys(_TIMEOUT_NAMES, _TIMEOUT_S)
        try:
            answer = httpcore.request(
                method,
                f'{base_url}{path}',
                headers={'Authorization': f'Bearer {self.key}'},
                content=body,
                extensions={'timeout': timeouts},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise ApiError(
                f'{self.address} did not answer: {error}', is_refusal=False
            ) from None
        return _parse_answer(answer)


def _parse_answer(answer: httpcore.Response) -> Any:
    try:
        body = orjson.loads(answer.content)
    except orjson.JSONDecodeError:
        raise ApiError('the answer of the daemon is not JSON') from None
    if answer.status >= _MIN_ERROR_STATUS and 'error' in body:
        error = body['error']
        faults = tuple(
            f'{fault["path"]}: {fault["expected"]}'
            for fault in error.get('faults', ())
        )
        raise ApiError(f'{error["kind"]}: {error["message"]}', faults=faults)
    return body

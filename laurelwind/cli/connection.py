"""Client of a daemon's administration API."""

from collections.abc import Mapping
from typing import Any, Final

import httpcore
import orjson
from attrs import frozen

_TIMEOUT_S: Final = 20.0
_TIMEOUT_NAMES: Final = ('connect', 'read', 'write', 'pool')
_MIN_ERROR_STATUS: Final = 400
# The library raises the last two for addresses that it cannot parse.
_CALL_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    OverflowError,
    ValueError,
)


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

    @property
    def _headers(self) -> dict[bytes | str, bytes | str]:
        # A header that ends with a blank cannot be sent.
        return {'Authorization': f'Bearer {self.key}'} if self.key else {}

    def _request(self, method: str, path: str, body: bytes) -> Any:
        base_url = self.address
        if '://' not in base_url:
            base_url = f'http://{base_url}'
        timeouts = dict.fromkeys(_TIMEOUT_NAMES, _TIMEOUT_S)
        try:
            answer = httpcore.request(
                method,
                f'{base_url}{path}',
                headers=self._headers,
                content=body,
                extensions={'timeout': timeouts},
            )
        except httpcore.LocalProtocolError:
            # The text of this error holds the key.
            raise ApiError(
                'the operator key cannot be sent in a header', is_refusal=False
            ) from None
        except _CALL_ERRORS as error:
            raise ApiError(
                f'{self.address} did not answer: {error}', is_refusal=False
            ) from None
        return _parse_answer(answer)


def _parse_answer(answer: httpcore.Response) -> Any:
    try:
        body = orjson.loads(answer.content)
    except orjson.JSONDecodeError:
        raise ApiError('the answer of the daemon is not JSON') from None
    if answer.status >= _MIN_ERROR_STATUS:
        raise _build_error(answer.status, body)
    return body


def _build_error(status: int, body: Any) -> ApiError:
    try:
        return _parse_error(body['error'])
    except (AttributeError, KeyError, TypeError):
        return ApiError(f'the daemon answered with status {status}')


def _parse_error(error: Any) -> ApiError:
    faults = tuple(
        ': '.join((fault['path'], fault['expected']))
        for fault in error.get('faults', ())
    )
    return ApiError(': '.join((error['kind'], error['message'])), faults=faults)

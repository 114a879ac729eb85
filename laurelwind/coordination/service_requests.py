"""Requests to plain HTTP services, and their progress."""

import functools
from typing import Final

from attrs import define, field, frozen

from laurelwind.coordination.suspects.calls import (
    ScreenedRequest,
    build_screened,
)
from laurelwind.errors import EndpointBrokenError, EndpointError, RunState
from laurelwind.protocol.endpoints import HeaderPairs
from laurelwind.state.document import Service
from laurelwind.state.load import read_monotonic_clock

_ANY_METHOD: Final = '*'
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


@frozen(kw_only=True)
class ServiceCallRequest:
    """A caller's request to a plain HTTP service.

    :ivar request_id: identifier passed on with every hop.
    :ivar workspace: workspace of the caller.
    :ivar service: name of the service.
    :ivar method: HTTP method.
    :ivar path: path at the service, with a leading slash.
    :ivar query: query string without the question mark.
    :ivar headers: headers to forward.
    :ivar body: body of the request.
    :ivar idempotency_key: key sent by the caller, or an empty string.
    :ivar deadline_s: time limit in seconds.
    """

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    query: str
    headers: HeaderPairs
    body: bytes
    idempotency_key: str
    deadline_s: float

    @property
    def target(self) -> str:
        """Path and query at the service."""
        query = f'?{self.query}' if self.query else ''
        return f'{self.path}{query}'

    @functools.cached_property
    def screened(self) -> ScreenedRequest:
        """The request, as it may be blamed for crashes."""
        return build_screened(
            self.request_id,
            workspace=self.workspace,
            method=self.method,
            target=self.target,
            body=self.body,
        )


@define(kw_only=True)
class CallProgress:
    """A call and its progress.

    :ivar deadline_at: moment at which the answer is due.
    :ivar failed_addresses: addresses that failed it.
    :ivar run_state: whether it reached an endpoint, if known.
    :ivar broken_attempts: number of attempts whose connection broke.
    """

    request: ServiceCallRequest
    service: Service
    deadline_at: float
    failed_addresses: set[str] = field(factory=set)
    run_state: RunState = RunState.NOT_RUN
    broken_attempts: int = 0

    @property
    def remaining_s(self) -> float:
        """Seconds until the answer is due."""
        return self.deadline_at - read_monotonic_clock()

    def record_failure(self, address: str, error: EndpointError) -> None:
        """Record a failed attempt.

        :param address: address of the endpoint.
        :param error: the failure.
        """
        self.failed_addresses.add(address)
        self.broken_attempts += isinstance(error, EndpointBrokenError)
        if error.run is not RunState.NOT_RUN:
            self.run_state = RunState.UNKNOWN


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Return whether a call may be sent more than once.

    :param service: configuration entry of the service.
    :param method: HTTP method.
    :param path: path at the service.
    """
    for route in service.routes:
        matches_method = route.method in {_ANY_METHOD, method}
        if matches_method and path.startswith(route.path):
            return route.idempotent
    return method in _SAFE_METHODS

"""The routing table: which requests may go to which services."""

import enum
import hashlib
from collections.abc import Mapping, Sequence
from typing import Final

from attrs import field, frozen

_HASH_BYTES: Final = 6


class RequestKind(enum.StrEnum):
    """What may be done with a request whose outcome is unknown."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@frozen(kw_only=True)
class ModelSize:
    """One model that a route may use.

    :ivar name: the model's name at its engines.
    :ivar cost: price of 1,000 generated tokens; a prompt token costs a
        quarter of a generated one.
    """

    name: str
    cost: float = 0


@frozen(kw_only=True)
class ServiceShare:
    """One service behind a route.

    :ivar service: its name.
    :ivar weight: its part of the route's requests.
    """

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """What is done with the requests of one host and path prefix.

    :ivar name: names the route in logs.
    :ivar host: host name that callers use.
    :ivar path_prefix: begins and ends with a slash.
    :ivar kind: what may be repeated.
    :ivar timeout_s: longest time that a caller is kept waiting.
    :ivar latency_goal_s: an answer, or a stream's first event, is on time
        within it.
    :ivar gap_goal_s: longest pause between the events of a timely stream.
    :ivar priority: rank, zero is the most urgent.
    :ivar max_attempts: endpoints that one request may be sent to.
    :ivar is_public: whether no key is needed.
    :ivar is_resumable: whether a stream may go on at another endpoint.
    :ivar models: models to choose from, smallest first; empty where the
        caller names the model.
    :ivar shares: the services behind the route.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: Sequence[ServiceShare]
    timeout_s: float
    latency_goal_s: float
    gap_goal_s: float = 1.5
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    models: Sequence[ModelSize] = ()

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.IDEMPOTENT:
            return True
        return self.kind is RequestKind.STREAMING and self.is_resumable

    def choose_service(self, key: str) -> str:
        """Choose a service by weight, always the same for one key.

        :param key: names the request or its session.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = hash_fraction(key) * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@frozen(kw_only=True)
class Workspace:
    """A customer, found by one of its keys.

    :ivar name: its name.
    :ivar priority: goes before the route's priority where it is given.
    """

    name: str
    priority: int | None = None


@frozen(kw_only=True)
class Service:
    """A pool of endpoints.

    :ivar name: its name.
    :ivar has_engines: whether its endpoints are model engines.
    """

    name: str
    has_engines: bool = False


@frozen(kw_only=True)
class CallerLimits:
    """What a caller may send.

    :ivar body_bytes: largest body.
    """

    body_bytes: int = 4_194_304


@frozen(kw_only=True)
class RoutingTable:
    """One version of everything that operators decide.

    :ivar version: grows with each change.
    :ivar routes: every route.
    :ivar services: every service by name.
    :ivar workspaces: every workspace by key.
    :ivar requires_key: whether routes that are not public need a key.
    :ivar limits: what a caller may send.
    """

    version: int
    routes: Sequence[Route]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace] = field(factory=dict, repr=False)
    requires_key: bool = False
    limits: CallerLimits = field(factory=CallerLimits)
    _by_host: dict[str, list[Route]] = field(
        factory=dict, init=False, repr=False, eq=False
    )

    def __attrs_post_init__(self) -> None:
        """Index the routes by host, longest prefix first."""
        longest_first = sorted(
            self.routes, key=lambda route: len(route.path_prefix), reverse=True
        )
        for route in longest_first:
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        :param host: the request's host, with or without a port.
        :param path: the request's path, without its query.
        """
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def hash_fraction(text: str) -> float:
    """Map a text to a number from 0 up to 1, alike in every process.

    :param text: any text.
    """
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big') / (1 << 8 * _HASH_BYTES)

"""Routing table: maps requests to services."""

import enum
import hashlib
import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from attrs import field, frozen

_HASH_BYTES: Final = 6


class RequestKind(enum.StrEnum):
    """How a request may be retried if its outcome is unknown."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@frozen(kw_only=True)
class RouteModel:
    """A model that a route may use.

    :ivar name: name of the model at its engines.
    :ivar cost: price of 1,000 generated tokens; a prompt token costs a quarter
        of a generated one.
    """

    name: str
    cost: float = 0


@frozen(kw_only=True)
class WeightedService:
    """A service behind a route, with its share of the requests.

    :ivar service: name of the service.
    :ivar weight: share of the requests, relative to the other weights.
    """

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """Handling of the requests for one host and path prefix.

    :ivar name: name of the route in logs.
    :ivar host: host name in the request.
    :ivar path_prefix: begins and ends with a slash.
    :ivar kind: how requests may be retried.
    :ivar timeout_s: maximum time that a caller waits, in seconds.
    :ivar latency_goal_s: target latency of an answer, or of the first event of
        a stream, in seconds.
    :ivar gap_goal_s: target for the longest gap between events of a stream, in
        seconds.
    :ivar priority: priority of the requests; zero is the most urgent.
    :ivar max_attempts: maximum of endpoints that a request is sent to.
    :ivar is_public: whether callers need no key.
    :ivar is_resumable: whether a stream may resume at another endpoint.
    :ivar models: models to choose from, smallest first; empty if the caller
        names the model.
    :ivar shares: the services behind the route.
    :ivar allowed_regions: regions whose endpoints may get the requests, or
        ``None`` for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: Sequence[WeightedService]
    timeout_s: float
    latency_goal_s: float
    gap_goal_s: float = 1.5
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    models: Sequence[RouteModel] = ()
    allowed_regions: frozenset[str] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.IDEMPOTENT:
            return True
        return self.kind is RequestKind.STREAMING and self.is_resumable

    def choose_service(self, key: str) -> str:
        """Choose a service by weight, the same one for equal keys.

        :param key: identifier of the request or of its session.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        remainder = hash_fraction(key) * total
        for share in self.shares:
            remainder -= share.weight
            if remainder < 0:
                return share.service
        return self.shares[-1].service


@frozen(kw_only=True)
class Workspace:
    """A customer, identified by one of its keys.

    :ivar name: name of the workspace.
    :ivar priority: overrides the priority of the route, unless ``None``.
    :ivar allowed_regions: regions whose endpoints may get the requests, or
        ``None`` for all.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


@frozen(kw_only=True)
class Service:
    """A pool of endpoints.

    :ivar name: name of the service.
    :ivar has_engines: whether its endpoints are model engines.
    :ivar cold_start_s: seconds for which an endpoint is cold after its start,
        or zero.
    :ivar cold_per_s: requests per second that a cold endpoint takes.
    :ivar memory_tokens: tokens of requests that an engine has memory for, or
        zero if unknown.
    :ivar costs: costs of its models, by name.
    """

    name: str
    has_engines: bool = False
    cold_start_s: float = 0
    cold_per_s: float = 0
    memory_tokens: int = 0
    costs: Mapping[str, float] = field(factory=dict)

    def get_cost_share(self, model: str) -> float:
        """Return the cost of a model, relative to the largest one.

        A model without a cost counts as the largest one.

        :param model: name of the model.
        """
        highest = max(self.costs.values(), default=0)
        cost = self.costs.get(model, 0)
        return cost / highest if cost > 0 else 1


@frozen(kw_only=True)
class CallerLimits:
    """Limits on requests of callers.

    :ivar body_bytes: maximum size of a request body, in bytes.
    :ivar header_bytes: maximum size of a request's head, in bytes.
    :ivar header_timeout_s: maximum time for the head of a request, in seconds.
    :ivar idle_timeout_s: maximum time between requests on a connection, in
        seconds.
    """

    body_bytes: int = 4_194_304
    header_bytes: int = 65_536
    header_timeout_s: float = 0
    idle_timeout_s: float = 0


@frozen(kw_only=True)
class RoutingTable:
    """One version of the routing configuration.

    :ivar version: version number, which grows with each change.
    :ivar routes: all routes.
    :ivar services: services by name.
    :ivar workspaces: workspaces by key.
    :ivar requires_key: whether callers of routes that are not public need a
        key.
    :ivar limits: limits on requests.
    """

    version: int
    routes: Sequence[Route]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace] = field(factory=dict, repr=False)
    requires_key: bool = False
    limits: CallerLimits = field(factory=CallerLimits)
    _routes_by_prefix: dict[tuple[str, str], Route] = field(
        factory=dict, init=False, repr=False, eq=False
    )
    _prefix_lengths: dict[str, list[int]] = field(
        factory=dict, init=False, repr=False, eq=False
    )

    def __attrs_post_init__(self) -> None:
        """Index the routes by host and prefix."""
        lengths: dict[str, set[int]] = {}
        for route in self.routes:
            host = route.host.lower()
            self._routes_by_prefix.setdefault((host, route.path_prefix), route)
            lengths.setdefault(host, set()).add(len(route.path_prefix))
        for host, host_lengths in lengths.items():
            self._prefix_lengths[host] = sorted(host_lengths, reverse=True)

    @property
    def has_regions(self) -> bool:
        """Whether any route or workspace is bound to regions."""
        owners: Iterable[Route | Workspace] = itertools.chain(
            self.routes, self.workspaces.values()
        )
        return any(owner.allowed_regions is not None for owner in owners)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest matching path prefix.

        :param host: host of the request, with or without a port.
        :param path: path of the request, without the query.
        """
        host_name = host.partition(':')[0].lower()
        for length in self._prefix_lengths.get(host_name, ()):
            route = self._routes_by_prefix.get((host_name, path[:length]))
            if route is not None:
                return route
        return None


def hash_fraction(text: str) -> float:
    """Hash a text to a number in [0, 1), the same in every process.

    :param text: any text.
    """
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big') / (1 << 8 * _HASH_BYTES)

"""Read-only operator interface: endpoints, instances, charges, traces."""

from collections.abc import Sequence
from typing import Final

from attrs import frozen
from prometheus_client import generate_latest

from laurelwind.coordination.follower import (
    ConfigurationFollower,
    FollowerStatus,
)
from laurelwind.coordination.partition_owners import PartitionOwners
from laurelwind.coordination.roster import Roster
from laurelwind.coordination.usage import UsageReader
from laurelwind.errors import CallerError, ErrorKind
from laurelwind.metrics import Metrics
from laurelwind.state.document import Endpoint
from laurelwind.state.load import LoadTable
from laurelwind.state.members import Member
from laurelwind.state.usage import Usage
from laurelwind.tracing import SpanSummary, Tracing
from laurelwind.transport.application import RequestHandler, Resource
from laurelwind.transport.caller_exchange import CallerExchange
from laurelwind.transport.operator_handlers import OperatorAuthenticator

_METRICS_TYPE: Final = (
    (b'content-type', b'text/plain; version=0.0.4; charset=utf-8'),
)
_STATUS_OK: Final = 200
_STATUS_UNAVAILABLE: Final = 503


@frozen(kw_only=True)
class OverviewDependencies:
    """Collaborators of an OverviewHandlers."""

    authenticator: OperatorAuthenticator
    follower: ConfigurationFollower
    roster: Roster
    owners: PartitionOwners
    usage: UsageReader
    loads: LoadTable
    metrics: Metrics
    tracing: Tracing


@frozen(kw_only=True)
class EndpointView:
    """An endpoint with the load and failures observed by this daemon.

    :ivar pool: name of the pool.
    :ivar name: name of the endpoint.
    :ivar address: ``host:port``.
    :ivar zone: availability zone of the endpoint.
    :ivar leaving: whether it receives no new requests.
    :ivar in_flight: number of requests of this daemon in flight there.
    :ivar failures: number of failures since the last success.
    """

    pool: str
    name: str
    address: str
    zone: str
    leaving: bool
    in_flight: int
    failures: int


@frozen(kw_only=True)
class EndpointsView:
    """Every endpoint of every pool.

    :ivar endpoints: the endpoints.
    """

    endpoints: Sequence[EndpointView]


@frozen(kw_only=True)
class InstancesView:
    """The members of the fleet in the current view of this daemon.

    :ivar instances: the members, including this daemon.
    :ivar owned_partitions: claim partitions that this daemon owns.
    """

    instances: Sequence[Member]
    owned_partitions: Sequence[int]


@frozen(kw_only=True)
class TraceView:
    """The spans of one trace.

    :ivar spans: the spans, oldest first.
    """

    spans: Sequence[SpanSummary]


class OverviewHandlers:
    """Handlers of the read-only resources for operators.

    :param dependencies: collaborators.
    """

    def __init__(self, *, dependencies: OverviewDependencies) -> None:
        self._dependencies = dependencies

    def list_resources(self) -> Sequence[Resource]:
        """List the resources of these handlers."""
        guarded = (
            ('endpoints', self.list_endpoints, EndpointsView),
            ('instances', self.list_instances, InstancesView),
            ('charges', self.show_charges, Usage),
            ('traces/{trace_id}', self.show_trace, TraceView),
        )
        return (
            *(_build_resource(*definition) for definition in guarded),
            Resource(
                path='/metrics',
                methods={'GET': self.show_metrics},
                requires_key=False,
            ),
            Resource(
                path='/ready',
                methods={'GET': self.show_readiness},
                answers={'GET': FollowerStatus},
                requires_key=False,
            ),
        )

    async def list_endpoints(self, exchange: CallerExchange) -> None:
        """List every endpoint with the load observed by this daemon.

        :param exchange: the operator's request.
        """
        self._dependencies.authenticator.authenticate(exchange)
        document = self._dependencies.follower.current.document
        endpoints = tuple(
            self._build_endpoint_view(pool_name, name, endpoint)
            for pool_name, pool in document.pools.items()
            for name, endpoint in pool.endpoints.items()
        )
        await exchange.send_json(EndpointsView(endpoints=endpoints))

    async def list_instances(self, exchange: CallerExchange) -> None:
        """List the members of the fleet, including this daemon.

        :param exchange: the operator's request.
        """
        self._dependencies.authenticator.authenticate(exchange)
        await exchange.send_json(
            InstancesView(
                instances=self._dependencies.roster.list_known(),
                owned_partitions=self._dependencies.owners.list_owned(),
            )
        )

    async def show_charges(self, exchange: CallerExchange) -> None:
        """Show the charges of each workspace.

        :param exchange: the operator's request.
        """
        self._dependencies.authenticator.authenticate(exchange)
        await exchange.send_json(await self._dependencies.usage.read())

    async def show_trace(self, exchange: CallerExchange) -> None:
        """Show the spans of one trace.

        :param exchange: the operator's request.
        """
        self._dependencies.authenticator.authenticate(exchange)
        trace_id = exchange.path_params['trace_id']
        spans = self._dependencies.tracing.store.find(trace_id)
        if not spans:
            raise CallerError(
                ErrorKind.TRACE_UNKNOWN,
                'this daemon stores no span of the trace',
            )
        await exchange.send_json(TraceView(spans=spans))

    async def show_metrics(self, exchange: CallerExchange) -> None:
        """Show the metrics in the Prometheus text format.

        :param exchange: request of a metrics scraper.
        """
        metrics = self._dependencies.metrics
        metrics.configuration_offset.set(
            self._dependencies.follower.status.offset
        )
        metrics.in_flight.set(self._dependencies.roster.local_member.load)
        await exchange.send_complete(
            _STATUS_OK, _METRICS_TYPE, generate_latest(metrics.registry)
        )

    async def show_readiness(self, exchange: CallerExchange) -> None:
        """Show whether a configuration is in force.

        :param exchange: request of a readiness probe.
        """
        follower = self._dependencies.follower
        await exchange.send_json(
            follower.status,
            status=_STATUS_OK if follower.is_ready else _STATUS_UNAVAILABLE,
        )

    def _build_endpoint_view(
        self, pool: str, name: str, endpoint: Endpoint
    ) -> EndpointView:
        load = self._dependencies.loads.get(endpoint.address)
        return EndpointView(
            pool=pool,
            name=name,
            address=endpoint.address,
            zone=endpoint.zone,
            leaving=endpoint.leaving,
            in_flight=load.in_flight,
            failures=load.failures,
        )


def _build_resource(
    name: str, serve_method: RequestHandler, answer_type: type
) -> Resource:
    return Resource(
        path=f'/admin/v1/{name}',
        methods={'GET': serve_method},
        answers={'GET': answer_type},
    )

"""The administration interface of a chat daemon."""

from collections.abc import Mapping

from attrs import frozen

from laurelwind.coordination.fleet import FleetCoordinator
from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.coordination.usage import UsageReader
from laurelwind.metrics import Metrics
from laurelwind.state.evidence import EvidenceTable
from laurelwind.state.load import LoadTable
from laurelwind.tracing import Tracing
from laurelwind.transport.application import Application
from laurelwind.transport.block_handlers import BlockHandlers
from laurelwind.transport.openapi_resource import add_openapi_resource
from laurelwind.transport.operator_handlers import (
    OperatorAuthenticator,
    OperatorHandlers,
)
from laurelwind.transport.overview_handlers import (
    OverviewDependencies,
    OverviewHandlers,
)


@frozen(kw_only=True)
class AdminDependencies:
    """Collaborators of the administration interface.

    :ivar operator_keys: hashes of the keys by name of the operator.
    :ivar follower: provides and publishes the configuration.
    :ivar fleet: what the daemon knows of the others.
    :ivar usage: reads charges.
    :ivar evidence: ratings of the versions.
    :ivar loads: load of the endpoints.
    :ivar metrics: metrics of the daemon.
    :ivar tracing: traces of the daemon.
    """

    operator_keys: Mapping[str, str]
    follower: ConfigurationFollower
    fleet: FleetCoordinator
    usage: UsageReader
    evidence: EvidenceTable
    loads: LoadTable
    metrics: Metrics
    tracing: Tracing


def build_admin_application(dependencies: AdminDependencies) -> Application:
    """Build the application of the administration interface.

    :param dependencies: collaborators of its handlers.
    """
    fleet = dependencies.fleet
    authenticator = OperatorAuthenticator(key_hashes=dependencies.operator_keys)
    operators = OperatorHandlers(
        authenticator=authenticator,
        follower=dependencies.follower,
        evidence=dependencies.evidence,
        quarantine=fleet.quarantine,
    )
    overview = OverviewHandlers(
        dependencies=OverviewDependencies(
            authenticator=authenticator,
            follower=dependencies.follower,
            roster=fleet.roster,
            owners=fleet.owners,
            usage=dependencies.usage,
            loads=dependencies.loads,
            metrics=dependencies.metrics,
            tracing=dependencies.tracing,
        )
    )
    blocks = BlockHandlers(authenticator=authenticator, screen=fleet.screen)
    return Application(
        resources=add_openapi_resource(
            (
                *operators.list_resources(),
                *overview.list_resources(),
                *blocks.list_resources(),
            )
        ),
        metrics=dependencies.metrics,
        tracing=dependencies.tracing,
    )

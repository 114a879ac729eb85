"""Clients for all remote systems of a daemon, started and closed together."""

from anyio.abc import TaskGroup

from laurelwind.metrics import Metrics
from laurelwind.protocol.envelope import EnvelopeSigner, SigningKey
from laurelwind.settings import Settings
from laurelwind.tracing import Tracing
from laurelwind.transport.engine_client import HttpEngineClient
from laurelwind.transport.log_client import HttpLog
from laurelwind.transport.peers import NngPeerNetwork
from laurelwind.transport.platform_clients import (
    HttpInstanceList,
    HttpRatingService,
)
from laurelwind.transport.service_client import HttpServiceClient


class ExternalClients:
    """Clients of the platform, of endpoints and of peers.

    :param settings: settings of the daemon.
    :param metrics: metrics of the daemon.
    :param tracing: records spans of calls to peers.
    """

    def __init__(
        self, *, settings: Settings, metrics: Metrics, tracing: Tracing
    ) -> None:
        platform = settings.platform
        self.log = HttpLog(address=platform.log)
        self.instances = HttpInstanceList(address=platform.instances)
        self.ratings = HttpRatingService(address=platform.ratings)
        self.engine = HttpEngineClient(credentials=settings.credentials)
        self.service = HttpServiceClient(credentials=settings.credentials)
        self.peers = NngPeerNetwork(
            address=settings.daemon.peer_address,
            signer=_build_signer(settings),
            metrics=metrics,
            tracing=tracing,
        )

    def start(self, group: TaskGroup) -> None:
        """Start to answer peers and to maintain connections.

        :param group: task group of the daemon.
        """
        self.peers.start(group)
        self.engine.start(group)
        self.service.start(group)

    async def close(self) -> None:
        """Close all connections."""
        await self.peers.close()
        await self.engine.close()
        await self.service.close()
        await self.ratings.close()
        await self.instances.close()
        await self.log.close()


def _build_signer(settings: Settings) -> EnvelopeSigner:
    keys = [
        SigningKey(key_id=key.key_id, secret=key.secret.encode())
        for key in settings.keys.peers
    ]
    return EnvelopeSigner(sender=settings.daemon.name, keys=keys)

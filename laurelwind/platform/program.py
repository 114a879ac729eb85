"""Runs a relay daemon on the platform."""

import functools
import os
import sys
from pathlib import Path
from typing import Final

import anyio
import prometheus_client
from starlette.types import ASGIApp

from laurelwind.errors import LaurelwindError
from laurelwind.platform.discovery import (
    ReadinessApplication,
    RegistryApplication,
)
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.platform.headers import PLATFORM_HEADERS
from laurelwind.platform.store import LogGroup, LogStore
from laurelwind.platform.store_client import StoreClient
from laurelwind.protocol.headers import NamedHeaderCodec
from laurelwind.relay_daemon import RelayDaemon
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.relay_program import StopWatchdog, run_relay
from laurelwind.relay_settings import RelaySettings, load_relay_settings
from laurelwind.relay_tracking import PlatformAdapters, build_local_member
from laurelwind.transport.block_application import BlockApplication

_SETTINGS_VARIABLE: Final = 'LAURELWIND_CONFIG'
# Seconds for which callers cache the addresses; short enough that they leave a
# stopping daemon before it closes their connections.
ADDRESSES_TTL_S: Final = 1.0


def build_daemon(settings: RelaySettings) -> RelayDaemon:
    """Build a relay daemon with the adapters to the platform.

    :param settings: settings of the daemon.
    """
    metrics = RelayMetrics()
    client = StoreClient(address=settings.store, count=metrics.count_store_call)
    return RelayDaemon(
        settings=settings,
        metrics=metrics,
        adapters=PlatformAdapters(
            store=LogStore(client=client),
            group=LogGroup(
                client=client, local_member=build_local_member(settings)
            ),
            documents=PlatformDocuments(),
            headers=NamedHeaderCodec(names=PLATFORM_HEADERS),
        ),
    )


def build_other_applications(daemon: RelayDaemon) -> dict[str, ASGIApp]:
    """Build the readiness, registry and operator applications, by address.

    :param daemon: the daemon that they report on.
    """
    listen = daemon.settings.listen
    return {
        listen.readiness: ReadinessApplication(
            is_ready=lambda: daemon.is_ready
        ),
        listen.entries: RegistryApplication(
            list_addresses=daemon.list_entries,
            ttl_s=min(ADDRESSES_TTL_S, daemon.settings.bounds.entries_life_s),
        ),
        listen.metrics: BlockApplication(
            screen=daemon.screen,
            fallback=prometheus_client.make_asgi_app(
                registry=daemon.metrics.registry
            ),
        ),
    }


def run() -> None:
    """Run a daemon until a signal stops it."""
    path = Path(os.environ[_SETTINGS_VARIABLE])
    try:
        _run_daemon(path)
    except* LaurelwindError as group:
        sys.exit(f'the daemon does not start: {group.exceptions[0]}')


def _run_daemon(path: Path) -> None:
    daemon = build_daemon(load_relay_settings(path))
    anyio.run(
        run_relay,
        daemon,
        build_other_applications(daemon),
        functools.partial(load_relay_settings, path),
        StopWatchdog(),
    )

"""Daemons and stand-ins on loopback, for the demo and the tests."""

import contextlib
import secrets
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any, Final

import anyio
import httpcore
import orjson
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from laurelwind.daemon import Daemon
from laurelwind.settings import Settings, parse_settings
from laurelwind.state.configuration import hash_key
from laurelwind.transport.server import HttpServer
from standins.engine import EngineStandin
from standins.instances import InstanceListStandin
from standins.log import LogStandin
from standins.plain import PlainStandin
from standins.ratings import RatingStandin

OPERATOR_KEY: Final = 'operator-key-of-the-demo'
ZONES: Final = ('a', 'b', 'c')
ANY_PORT: Final = '127.0.0.1:0'
_SECRET_BYTES: Final = 16
_POLL_S: Final = 0.01

Json = dict[str, Any]


@frozen(kw_only=True)
class HttpAnswer:
    """Answer to an HTTP request.

    :ivar status: HTTP status code.
    :ivar headers: header values by name in lower case.
    :ivar body: undecoded body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def read_json(self) -> Any:
        """Decode the body as JSON."""
        return orjson.loads(self.body)


class HttpCaller:
    """An HTTP client with a connection pool, for the tests and the demo."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_connections=None)

    async def request(
        self,
        method: str,
        url: str,
        *,
        key: str = '',
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send a request and read the whole answer.

        :param method: HTTP method.
        :param url: address and path, without the scheme.
        :param key: bearer token, or an empty string to send none.
        :param body: bytes, an object to encode as JSON, or ``None``.
        :param headers: additional headers.
        """
        encoded_headers = [
            (name.encode(), text.encode())
            for name, text in (headers or {}).items()
        ]
        if key:
            encoded_headers.append((b'Authorization', f'Bearer {key}'.encode()))
        encoded_body = body if isinstance(body, bytes) else _encode_json(body)
        answer = await self._pool.request(
            method,
            f'http://{url}',
            headers=encoded_headers,
            content=encoded_body,
        )
        return HttpAnswer(
            status=answer.status,
            headers={
                name.decode().lower(): text.decode()
                for name, text in answer.headers
            },
            body=answer.content,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()


@define(kw_only=True)
class Standins:
    """One stand-in of each kind, and one engine for each availability zone.

    :ivar engine_zones: the availability zone of each engine.
    :ivar addresses: address of each started stand-in, by name.
    """

    engine_zones: Sequence[str] = ZONES
    log: LogStandin = field(factory=LogStandin)
    instances: InstanceListStandin = field(factory=InstanceListStandin)
    ratings: RatingStandin = field(factory=RatingStandin)
    plain: PlainStandin = field(factory=PlainStandin)
    engines: list[EngineStandin] = field(init=False)
    addresses: dict[str, str] = field(factory=dict)
    _servers: list[HttpServer] = field(factory=list)

    @engines.default
    def _create_engines(self) -> list[EngineStandin]:
        return [EngineStandin() for _ in self.engine_zones]

    async def start(self, group: TaskGroup) -> None:
        """Start every stand-in on a free port.

        :param group: task group that the servers run in.
        """
        applications = {
            'log': self.log.application,
            'instances': self.instances.application,
            'ratings': self.ratings.application,
            'plain': self.plain.application,
        }
        for index, engine in enumerate(self.engines):
            applications[f'engine{index}'] = engine.application
        for name, application in applications.items():
            server = HttpServer(address=ANY_PORT)
            await server.start(group, application)
            self._servers.append(server)
            self.addresses[name] = server.address

    async def close(self) -> None:
        """Stop every stand-in."""
        for server in self._servers:
            await server.force_close()


@define(kw_only=True)
class LocalFleet:
    """Daemons and stand-ins in one process.

    :ivar zones: the availability zone of each daemon.
    :ivar header_timeout_s: the daemons' setting of the same name.
    :ivar regions: the region of each availability zone.
    """

    zones: Sequence[str] = ZONES
    standins: Standins = field(factory=Standins)
    header_timeout_s: float = 10
    regions: Mapping[str, str] = field(factory=dict)
    daemons: dict[str, Daemon] = field(factory=dict)
    caller: HttpCaller = field(factory=HttpCaller)
    _group: TaskGroup | None = None
    _daemon_groups: dict[str, TaskGroup] = field(factory=dict)
    _session_secret: str = field(
        factory=lambda: secrets.token_hex(_SECRET_BYTES)
    )
    _peer_secret: str = field(factory=lambda: secrets.token_hex(_SECRET_BYTES))

    async def start(self, group: TaskGroup) -> None:
        """Start the stand-ins and the daemons.

        :param group: task group that the servers run in.
        """
        self._group = group
        await self.standins.start(group)
        for index, zone in enumerate(self.zones):
            await self.start_daemon(f'{zone}{index}', zone)

    @property
    def group(self) -> TaskGroup:
        """Task group that the fleet runs in.

        :raises RuntimeError: if the fleet has not been started.
        """
        if self._group is None:
            raise RuntimeError('fleet has not been started; call start() first')
        return self._group

    async def start_daemon(self, name: str, zone: str) -> Daemon:
        """Start a daemon and add it to the list of instances.

        :param name: name of the daemon.
        :param zone: its availability zone.
        """
        daemon = Daemon(settings=self.build_settings(name, zone))
        self.register_instance(daemon)
        daemon_group = await self.group.start(_run_task_group)
        await daemon.start(daemon_group)
        self.daemons[name] = daemon
        self._daemon_groups[name] = daemon_group
        return daemon

    def register_instance(
        self, daemon: Daemon, *, leaving: bool = False
    ) -> None:
        """Add a daemon to the platform's list of instances.

        :param daemon: the daemon.
        :param leaving: whether the daemon is listed as leaving.
        """
        local_member = daemon.fleet.roster.local_member
        self.standins.instances.instances[local_member.name] = {
            'name': local_member.name,
            'zone': local_member.zone,
            'region': local_member.region,
            'caller_address': local_member.caller_address,
            'peer_address': local_member.peer_address,
            'leaving': leaving,
        }

    async def stop_daemon(self, name: str) -> None:
        """Stop a daemon gracefully.

        :param name: name of the daemon.
        """
        await self.daemons.pop(name).close()
        self._daemon_groups.pop(name).cancel_scope.cancel()

    def crash_daemon(self, name: str) -> None:
        """Cancel all tasks of a daemon and close its connections.

        :param name: name of the daemon.
        """
        daemon = self.daemons.pop(name)
        self._daemon_groups.pop(name).cancel_scope.cancel()
        daemon.caller_server.abort_connections()
        daemon.admin_server.abort_connections()

    async def close(self) -> None:
        """Stop the daemons, the client and the stand-ins."""
        async with anyio.create_task_group() as group:
            for name in tuple(self.daemons):
                group.start_soon(self.stop_daemon, name)
        await self.caller.close()
        await self.standins.close()

    def build_settings(self, name: str, zone: str) -> Settings:
        """Build the settings of a daemon.

        :param name: name of the daemon.
        :param zone: its availability zone.
        """
        return parse_settings(self.render_settings(name, zone))

    def render_settings(self, name: str, zone: str) -> str:
        """Return the content of the settings file of a daemon.

        :param name: name of the daemon.
        :param zone: its availability zone.
        """
        addresses = self.standins.addresses
        region = self.regions.get(zone, '')
        lines = (
            '[daemon]',
            f'name = "{name}"',
            f'zone = "{zone}"',
            f'region = "{region}"',
            f'caller_address = "{ANY_PORT}"',
            f'admin_address = "{ANY_PORT}"',
            f'peer_address = "{ANY_PORT}"',
            '[platform]',
            f'log = "{addresses["log"]}"',
            f'instances = "{addresses["instances"]}"',
            f'ratings = "{addresses["ratings"]}"',
            '[limits]',
            f'header_timeout_s = {self.header_timeout_s}',
            '[keys]',
            f'sessions = ["{self._session_secret}"]',
            f'peers = [{{key_id = "1", secret = "{self._peer_secret}"}}]',
            f'operators = {{demo = "{hash_key(OPERATOR_KEY)}"}}',
        )
        return '\n'.join(lines)

    async def publish(self, document: Json, *, base: int = -1) -> HttpAnswer:
        """Publish a configuration through the first daemon.

        :param document: the configuration document.
        :param base: offset of the document to replace, or -1 for the first.
        """
        daemon = next(iter(self.daemons.values()))
        address = daemon.admin_server.address
        return await self.caller.request(
            'POST',
            f'{address}/admin/v1/configuration?base={base}',
            key=OPERATOR_KEY,
            body=document,
        )

    async def wait_for_configuration(self, offset: int) -> None:
        """Wait until every daemon has applied a configuration.

        :param offset: offset of the configuration.
        """
        for daemon in self.daemons.values():
            while daemon.follower.status.offset < offset:
                await anyio.sleep(_POLL_S)


@contextlib.asynccontextmanager
async def run_fleet(
    *,
    zones: Sequence[str] = ZONES,
    standins: Standins | None = None,
    header_timeout_s: float = 10,
    regions: Mapping[str, str] | None = None,
) -> AsyncIterator[LocalFleet]:
    """Run a fleet for the duration of a ``with`` block.

    :param zones: the availability zone of each daemon.
    :param standins: the stand-ins, or ``None`` for new ones.
    :param header_timeout_s: the daemons' setting of the same name.
    :param regions: the region of each availability zone.
    """
    fleet = LocalFleet(
        zones=zones,
        standins=standins or Standins(),
        header_timeout_s=header_timeout_s,
        regions=regions or {},
    )
    async with anyio.create_task_group() as group:
        await fleet.start(group)
        try:
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.close()
            group.cancel_scope.cancel()


def _encode_json(body: object) -> bytes:
    return b'' if body is None else orjson.dumps(body)


async def _run_task_group(
    *, task_status: anyio.abc.TaskStatus[TaskGroup] = anyio.TASK_STATUS_IGNORED
) -> None:
    async with anyio.create_task_group() as group:
        task_status.started(group)
        await anyio.sleep_forever()

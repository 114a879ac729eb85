"""Callers: ask a registry, connect themselves, keep connections open."""

import random

import anyio
import httpcore
import orjson
from attrs import define

from laurelwind.transport.network import NO_ANSWER
from soak import bounds
from soak.fleet import Daemon, Fleet

ROUTES = ('book', 'draft', 'draft', 'look', 'look')
# Seconds that a caller keeps a registry's answer, and between its requests.
ANSWER_LIFE_S = 1.0
THINK_S = 0.15
# Part of the requests after which a caller connects elsewhere by itself.
MOVE_SHARE = 0.15
# Part of the requests that use a key that comes and goes.
EXTRA_KEY_SHARE = 0.25
_CALL_TIMEOUT_S = 1.0


@define(kw_only=True)
class Ask:
    """One request as its caller saw it.

    :ivar ending: ``answered``, ``cut``, ``unsent``, ``silent`` or ``open``.
    """

    request_id: str
    route: str
    key: str
    daemon: Daemon
    life: str
    sent_at: float
    ended_at: float = 0
    ending: str = 'open'
    status: int = 0
    body: bytes = b''
    was_stopping: bool = False


class Callers:
    """Several callers at once, until told to end.

    :param fleet: whom they call.
    :param luck: draws what they ask.
    """

    def __init__(self, *, fleet: Fleet, luck: random.Random):
        self.asks: list[Ask] = []
        self.empty_answers: list[str] = []
        self.is_over = False
        self._fleet = fleet
        self._luck = luck

    async def work(self, number: int) -> None:
        """Be one caller."""
        pool = httpcore.AsyncConnectionPool(max_connections=1)
        daemon: Daemon | None = None
        asked_at = float('-inf')
        known: list[Daemon] = []
        count = 0
        while not self.is_over:
            if anyio.current_time() - asked_at > ANSWER_LIFE_S:
                known = await self.resolve() or known
                asked_at = anyio.current_time()
            moves = self._luck.random() < MOVE_SHARE
            # An open connection is used until its process is gone.
            if known and (daemon is None or moves):
                daemon = self._luck.choice(known)
            if daemon is None:
                await anyio.sleep(THINK_S)
                continue
            count += 1
            ask = await self.ask(pool, daemon, f'c{number}-{count}')
            if ask.ending != 'answered' or ask.status >= 500:
                daemon = None
            await anyio.sleep(THINK_S * self._luck.uniform(0.5, 1.5))
        await pool.aclose()

    async def resolve(self) -> list[Daemon]:
        """Ask up to three registries where to connect."""
        fleet = self._fleet
        for daemon in self._luck.sample(fleet.daemons, 3):
            begun_at = anyio.current_time()
            zone = self._luck.choice('aaab')
            found = await fetch(
                daemon.addresses['entries'], f'/resolve?zone={zone}'
            )
            if found is None:
                continue
            addresses = orjson.loads(found).get('addresses', [])
            if addresses:
                return [fleet.find_daemon(address) for address in addresses]
            subject = daemon.subject
            if fleet.troubles.is_calm(subject, begun_at, begun_at):
                self.empty_answers.append(daemon.name)
        return []

    async def ask(
        self, pool: httpcore.AsyncConnectionPool, daemon: Daemon, name: str
    ) -> Ask:
        """Send one request, and keep what came of it."""
        ask = Ask(
            request_id=name,
            route=self._luck.choice(ROUTES),
            key=self._choose_key(),
            daemon=daemon,
            life=daemon.life,
            sent_at=anyio.current_time(),
            was_stopping=daemon.is_stopping,
        )
        self.asks.append(ask)
        try:
            with anyio.fail_after(bounds.TIMEOUT_S * 2):
                answer = await pool.request(
                    'POST',
                    f'http://{daemon.caller_link.address}/{ask.route}/1',
                    headers={
                        'Host': bounds.HOST,
                        'X-Request-Id': name,
                        'X-Deadline-Ms': str(int(bounds.TIMEOUT_S * 1000)),
                        'X-Tenant-Id': 'forged',
                        'Authorization': f'Bearer {ask.key}',
                    },
                    content=b'hall 3',
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            ask.ending = 'unsent'
        except (httpcore.NetworkError, httpcore.ProtocolError):
            ask.ending = 'cut'
        except TimeoutError:
            ask.ending = 'silent'
        else:
            ask.ending = 'answered'
            ask.status = answer.status
            ask.body = answer.content
        ask.ended_at = anyio.current_time()
        return ask

    def _choose_key(self) -> str:
        # Keys that were taken away are used on, as forgotten callers do.
        passing = sorted(
            {key for _, _, keys in self._fleet.tables for key in keys}
            - {bounds.KEY}
        )
        if passing and self._luck.random() < EXTRA_KEY_SHARE:
            return self._luck.choice(passing)
        return bounds.KEY


async def fetch(address: str, path: str) -> bytes | None:
    """Read a page over a connection of its own, or nothing where none comes."""
    try:
        with anyio.fail_after(_CALL_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                found = await pool.request('GET', f'http://{address}{path}')
    except NO_ANSWER:
        return None
    return found.content if found.status == 200 else None

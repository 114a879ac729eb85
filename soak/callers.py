"""Callers that resolve daemons in a registry and reuse connections."""

import random
from collections.abc import AsyncIterator

import anyio
import httpcore
import orjson
from attrs import define

from laurelwind.transport.network import CALL_FAILURES
from soak import bounds
from soak.daemons import Daemon
from soak.fleet import DeadlyRequest, Fleet
from standins.link import Link, encode_request_end

ROUTES = ('book', 'draft', 'draft', 'look', 'look')
# Seconds for which a caller caches a registry's answer.
ANSWER_TTL_S = 1.0
# Mean of the seconds between two requests of a caller.
THINK_TIME_S = 0.15
# Share of requests before which a caller chooses another daemon.
SWITCH_SHARE = 0.15
# Share of requests that use a temporary key.
EXTRA_KEY_SHARE = 0.25
# Of callers with large requests: one in this number has a narrow link.
NARROW_INTERVAL = 2
# Shares of large answers and of large request bodies, and their sizes in bytes.
LARGE_ANSWER_SHARE = 0.25
MIN_ANSWER_BYTES = 100_000
MAX_ANSWER_BYTES = 900_000
LARGE_BODY_SHARE = 0.25
MIN_BODY_BYTES = 10_000
MAX_BODY_BYTES = 70_000
# Owners of prompts, each with a part of its own, and the share of prompts that
# crash endpoints while a fault asks for them.
PROMPT_OWNERS = 4
DEADLY_SHARE = 0.1
# Mean of the seconds between two repeats of a deadly request.
DEADLY_GAP_S = 0.4
# Most seconds that a caller takes to send a large body, and its chunks.
MAX_BODY_S = 1.0
BODY_CHUNKS = 10
# Seconds after which a caller gives up. A narrow link may deliver an answer
# long after the daemon has sent it.
PATIENCE_S = bounds.TIMEOUT_S * 2
NARROW_PATIENCE_S = PATIENCE_S * 2
_CALL_TIMEOUT_S = 1.0


@define(kw_only=True)
class CallerRequest:
    """One request and its outcome at the caller.

    :ivar answer_bytes: size of the answer that it asks for.
    :ivar incarnation: process of the daemon that the request was sent to.
    :ivar link: link that it was sent through.
    :ivar is_deadly: whether it crashes endpoints.
    :ivar repeated: body that it has in common with its repeats, or empty.
    :ivar outcome: ``answered``, ``cut`` (connection closed without a complete
        answer), ``unsent`` (no connection), ``silent`` (time-out) or ``open``.
    """

    request_id: str
    route: str
    key: str
    answer_bytes: int
    daemon: Daemon
    incarnation: str
    link: Link
    sent_at: float
    is_deadly: bool = False
    repeated: bytes = b''
    ended_at: float = 0
    outcome: str = 'open'
    status: int = 0
    body: bytes = b''


class Callers:
    """Concurrent callers that send requests until they are stopped.

    :param fleet: daemons to call.
    :param rng: random generator that chooses daemons, routes and keys.
    :param has_large_requests: whether some requests and answers are large, and
        some callers have narrow links.
    :param has_prompts: whether streams have prompts.
    :ivar requests: every request sent.
    :ivar empty_answers: daemons whose registry returned no addresses, one
        entry for each such answer outside of fault windows.
    :ivar is_stopped: whether callers stop before their next request.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        rng: random.Random,
        has_large_requests: bool,
        has_prompts: bool = False,
    ):
        self.requests: list[CallerRequest] = []
        self.empty_answers: list[str] = []
        self.is_stopped = False
        self._fleet = fleet
        self._rng = rng
        self._has_large_requests = has_large_requests
        self._has_prompts = has_prompts

    async def run_caller(self, number: int) -> None:
        """Send requests as one caller until callers are stopped."""
        pool = httpcore.AsyncConnectionPool(max_connections=1)
        daemon: Daemon | None = None
        resolved_at = float('-inf')
        daemons: list[Daemon] = []
        count = 0
        is_narrow = self._has_large_requests and number % NARROW_INTERVAL == 0
        while not self.is_stopped:
            if anyio.current_time() - resolved_at > ANSWER_TTL_S:
                daemons = await self.resolve() or daemons
                resolved_at = anyio.current_time()
            is_switching = self._rng.random() < SWITCH_SHARE
            # A caller keeps its connection until the daemon process ends.
            if daemons and (daemon is None or is_switching):
                daemon = self._rng.choice(daemons)
            if daemon is None:
                await anyio.sleep(THINK_TIME_S)
                continue
            count += 1
            request = await self.send_request(
                pool, daemon, f'c{number}-{count}', is_narrow=is_narrow
            )
            if request.outcome != 'answered' or request.status >= 500:
                daemon = None
            await anyio.sleep(THINK_TIME_S * self._rng.uniform(0.5, 1.5))
        await pool.aclose()

    async def repeat_deadly_requests(self) -> None:
        """Send each deadly request again and again, to any daemon."""
        count = 0
        while not self.is_stopped:
            await anyio.sleep(self._rng.expovariate(1 / DEADLY_GAP_S))
            now = anyio.current_time()
            for deadly in self._fleet.deadly_requests:
                if now >= deadly.until:
                    continue
                count += 1
                daemon = self._rng.choice(self._fleet.daemons)
                async with httpcore.AsyncConnectionPool() as pool:
                    await self.send_request(
                        pool, daemon, f'again-{count}', deadly=deadly
                    )

    async def resolve(self) -> list[Daemon]:
        """Query up to three registries; return the first non-empty answer."""
        fleet = self._fleet
        for daemon in self._rng.sample(fleet.daemons, 3):
            started_at = anyio.current_time()
            zone = self._rng.choice('aaab')
            page = await fetch(
                daemon.addresses['entries'], f'/resolve?zone={zone}'
            )
            if page is None:
                continue
            addresses = orjson.loads(page).get('addresses', [])
            if addresses:
                return [fleet.find_daemon(address) for address in addresses]
            subject = daemon.subject
            if fleet.fault_windows.is_fault_free(
                subject, started_at, started_at
            ):
                self.empty_answers.append(daemon.name)
        return []

    async def send_request(
        self,
        pool: httpcore.AsyncConnectionPool,
        daemon: Daemon,
        request_id: str,
        *,
        is_narrow: bool = False,
        deadly: DeadlyRequest | None = None,
    ) -> CallerRequest:
        """Send one request and record its outcome.

        :param is_narrow: whether to use the daemon's narrow link.
        :param deadly: a deadly request to send, or ``None`` for a sound one.
        """
        request = CallerRequest(
            request_id=request_id,
            route=self._rng.choice(ROUTES) if deadly is None else deadly.route,
            key=bounds.PERMANENT_KEY if deadly else self._choose_key(),
            answer_bytes=self._choose_size(
                LARGE_ANSWER_SHARE, MIN_ANSWER_BYTES, MAX_ANSWER_BYTES
            ),
            daemon=daemon,
            incarnation=daemon.incarnation,
            link=daemon.narrow_link if is_narrow else daemon.caller_link,
            sent_at=anyio.current_time(),
        )
        if deadly is not None:
            request.is_deadly = True
            request.repeated = deadly.body
            request.answer_bytes = 1
        self.requests.append(request)
        prompt = self._choose_prompt(request)
        body_bytes = self._choose_size(
            LARGE_BODY_SHARE, MIN_BODY_BYTES, MAX_BODY_BYTES
        )
        body = b'.' * body_bytes + encode_request_end(request_id)
        body_s = self._rng.uniform(0, MAX_BODY_S) if body_bytes > 1 else 0
        if deadly is not None:
            body, body_s = deadly.body, 0
        patience_s = NARROW_PATIENCE_S if is_narrow else PATIENCE_S
        url = f'http://{request.link.address}/{request.route}'
        try:
            with anyio.fail_after(patience_s):
                answer = await pool.request(
                    'POST',
                    f'{url}/{request.answer_bytes}',
                    headers={
                        'Host': bounds.HOST,
                        'Content-Length': str(len(body)),
                        'X-Request-Id': request_id,
                        'X-Deadline-Ms': str(int(bounds.TIMEOUT_S * 1000)),
                        'X-Tenant-Id': 'forged',
                        'Authorization': f'Bearer {request.key}',
                        **prompt,
                    },
                    content=_send_body(body, body_s) if body_s else body,
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            request.outcome = 'unsent'
        except (httpcore.NetworkError, httpcore.ProtocolError):
            request.outcome = 'cut'
        except TimeoutError:
            request.outcome = 'silent'
        else:
            request.outcome = 'answered'
            request.status = answer.status
            request.body = answer.content
        request.ended_at = anyio.current_time()
        return request

    def _choose_prompt(self, request: CallerRequest) -> dict[str, str]:
        """Choose the parts of a stream's prompt; return its header."""
        if not self._has_prompts or request.route != 'draft':
            return {}
        owner = self._rng.randrange(PROMPT_OWNERS)
        is_drawn = self._rng.random() < DEADLY_SHARE
        request.is_deadly = is_drawn and request.sent_at < (
            self._fleet.deadly_until
        )
        names = ['first', f'own{owner}', request.request_id]
        if request.is_deadly:
            names.insert(self._rng.randint(0, 2), bounds.DEADLY_PART)
        parts = ','.join(f'{name}:10' for name in names)
        return {'X-Prefix-Hash': parts}

    def _choose_size(self, share: float, least: int, most: int) -> int:
        """Choose a size in bytes: 1, or a large one for a share of requests."""
        if not self._has_large_requests or self._rng.random() >= share:
            return 1
        return self._rng.randint(least, most)

    def _choose_key(self) -> str:
        # Revoked keys stay in use, as by callers that were not updated.
        temporary = sorted(
            {key for table in self._fleet.tables for key in table.keys}
            - {bounds.PERMANENT_KEY}
        )
        if temporary and self._rng.random() < EXTRA_KEY_SHARE:
            return self._rng.choice(temporary)
        return bounds.PERMANENT_KEY


async def _send_body(body: bytes, duration_s: float) -> AsyncIterator[bytes]:
    """Yield a body in chunks, at a constant rate."""
    chunk_bytes = len(body) // BODY_CHUNKS + 1
    for start in range(0, len(body), chunk_bytes):
        await anyio.sleep(duration_s / BODY_CHUNKS)
        yield body[start : start + chunk_bytes]


async def fetch(address: str, path: str) -> bytes | None:
    """Fetch a page over a new connection; ``None`` on failure or time-out."""
    try:
        with anyio.fail_after(_CALL_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request('GET', f'http://{address}{path}')
    except CALL_FAILURES:
        return None
    return answer.content if answer.status == 200 else None

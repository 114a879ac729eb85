"""Promises of the relay under endpoints that misbehave at random.

Each seed draws what three endpoints do with each request: answer, refuse,
fail, reset, cut, answer twice, stop, or tear a stream within an event.  What
callers get is held against what the endpoints ran.
"""

import random
from collections import Counter

import anyio
import httpcore
import pytest

from laurelwind.protocol.keyed import Topic
from tests.helpers import wait_until
from tests.test_relay_path import CONFIG, World
from tests.test_tracker import endpoint

pytestmark = pytest.mark.anyio

EVENTS = 6
REQUESTS = 60
PLAIN_ACTS = ('serve', 'shed', 'fail', 'reset', 'cut', 'twice', 'junk')
STREAM_ACTS = ('serve', 'shed', 'reset', 'tear', 'stop', 'twice')


def event(request_id, number):
    return b'id: %d\ndata: %b-%d\n\n' % (number, request_id, number)


def chunk(body):
    return b'%x\r\n%b\r\n' % (len(body), body)


class WildEndpoint:
    """One endpoint that misbehaves, and keeps what it ran."""

    def __init__(self, *, luck, ledger):
        self._luck = luck
        self._ledger = ledger

    async def serve(self, stream):
        async with stream:
            pending = b''
            while True:
                try:
                    while b'\r\n\r\n' not in pending:
                        pending += await stream.receive()
                    head, _, pending = pending.partition(b'\r\n\r\n')
                    headers = _read_headers(head)
                    length = int(headers.get(b'content-length', b'0'))
                    while len(pending) < length:
                        pending += await stream.receive()
                    pending = pending[length:]
                    if not await self._answer(stream, head, headers):
                        return
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return

    async def _answer(self, stream, head, headers):
        request_id = headers[b'x-request-id']
        is_stream = b' /draft/' in head
        acts = STREAM_ACTS if is_stream else PLAIN_ACTS
        act = self._luck.choices(acts, [6, *[1] * (len(acts) - 1)])[0]
        start = b'HTTP/1.1 %b\r\nX-Request-Id: ' + request_id + b'\r\n'
        if act == 'shed':
            await stream.send(
                start % b'503 Full'
                + b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            )
            return True
        self._ledger[request_id] += 1
        if act == 'reset':
            return False
        if is_stream:
            after = int(headers.get(b'last-event-id', b'0'))
            return await self._stream(stream, start, request_id, after, act)
        return await self._whole(stream, start, request_id, act)

    async def _whole(self, stream, start, request_id, act):
        status = b'500 No' if act == 'fail' else b'200 OK'
        answer = (
            start % status
            + b'X-Response-Seal: %b\r\nContent-Length: %d\r\n\r\n%b'
            % (request_id, len(request_id), request_id)
        )
        if act == 'cut':
            await stream.send(answer[:-3])
            return False
        await stream.send(answer)
        if act in {'twice', 'junk'}:
            await anyio.sleep(0.002)
            await stream.send(answer if act == 'twice' else b'\x00junk')
        return True

    async def _stream(self, stream, start, request_id, after, act):
        await stream.send(
            start % b'200 OK'
            + b'X-Response-Seal: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
            % request_id
        )
        for number in range(after + 1, EVENTS + 1):
            raw = event(request_id, number)
            if act != 'serve' and number == after + 3:
                torn = raw[:5] if act == 'tear' else raw
                await stream.send(chunk(torn))
                if act == 'twice':
                    continue
                return False
            await stream.send(chunk(raw))
        await stream.send(b'0\r\n\r\n')
        return True


def _read_headers(head):
    headers = {}
    for line in head.split(b'\r\n')[1:]:
        name, _, text = line.partition(b': ')
        headers[name.lower()] = text
    return headers


async def _ask(world, kind, number, answers):
    request_id = f'{kind}-{number:04}'
    try:
        answer = await world.ask(f'/{kind}/1', request_id=request_id)
        answers[request_id] = (answer.status, answer.content)
    except httpcore.RemoteProtocolError:
        answers[request_id] = (0, b'')


@pytest.mark.parametrize('seed', range(6))
async def test_promises_hold_whatever_endpoints_do(seed):
    luck = random.Random(seed)
    ledger = Counter()
    answers = {}
    async with anyio.create_task_group() as group:
        addresses = []
        for _ in range(3):
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            wild = WildEndpoint(luck=luck, ledger=ledger)
            group.start_soon(listener.serve, wild.serve)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            addresses.append(f'127.0.0.1:{port}')
        world = World(addresses[0])
        for number, address in enumerate(addresses[1:], start=2):
            world.store.put(
                Topic.ENDPOINTS, f'e{number}', endpoint(1, address=address)
            )
        await world.daemon.start(group, {})
        with anyio.fail_after(60):
            await wait_until(lambda: world.daemon.is_ready)
            async with anyio.create_task_group() as callers:
                for number in range(REQUESTS):
                    kind = luck.choice(('book', 'draft'))
                    callers.start_soon(_ask, world, kind, number, answers)
                    await anyio.sleep(0.005)
        await world.pool.aclose()
        group.cancel_scope.cancel()
    assert len(answers) == REQUESTS
    for request_id, (status, body) in answers.items():
        _check(request_id.encode(), status, body, ledger)
    served = sum(status == 200 for status, _ in answers.values())
    assert served > REQUESTS / 2


def _check(request_id, status, body, ledger):
    if request_id.startswith(b'book'):
        assert ledger[request_id] <= 1
        if status == 503:
            assert not ledger[request_id]
        if status in {200, 500} and not body.startswith(b'{'):
            assert body == request_id
    elif status == 200:
        assert body == b''.join(
            event(request_id, number) for number in range(1, EVENTS + 1)
        )
    assert ledger[request_id] <= CONFIG['routes'][0]['max_attempts']

"""HTTP interface by which operators list and lift blocks of prompt parts."""

from collections.abc import Sequence
from typing import Any, Final
from urllib.parse import parse_qs

import orjson
from starlette.types import ASGIApp, Receive, Scope, Send

from laurelwind.coordination.suspects.lifting import lift_blocks
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.state.blocks import Block
from laurelwind.state.load import read_monotonic_clock
from laurelwind.transport.json_answers import send_json

BLOCKS_PATH: Final = '/blocked-parts'
_OK: Final = 200
_NOT_FOUND: Final = 404
_WRONG_METHOD: Final = 405


class BlockApplication:
    """Serves ``GET`` and ``DELETE /blocked-parts``; passes on other paths.

    ``DELETE /blocked-parts?service=NAME&part=NAME`` lifts the blocks that hold
    the part, or the request of that name, at all daemons.

    :param screen: holds the blocks.
    :param fallback: application that serves all other paths.
    """

    def __init__(self, *, screen: SuspectScreen, fallback: ASGIApp) -> None:
        self._screen = screen
        self._fallback = fallback

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer a request."""
        if scope['type'] != 'http' or scope['path'] != BLOCKS_PATH:
            await self._fallback(scope, receive, send)
        elif scope['method'] == 'GET':
            await _send_blocks(send, _OK, self._screen.blocks)
        elif scope['method'] == 'DELETE':
            lifted = self._lift(scope)
            await _send_blocks(send, _OK if lifted else _NOT_FOUND, lifted)
        else:
            await _send_blocks(send, _WRONG_METHOD, ())

    def _lift(self, scope: Scope) -> Sequence[Block]:
        query = parse_qs(scope.get('query_string', b'').decode('latin-1'))
        key = (query.get('service', [''])[0], query.get('part', [''])[0])
        return lift_blocks(self._screen, key)


async def _send_blocks(
    send: Send, status: int, blocks: Sequence[Block]
) -> None:
    document = {'blocked': [_describe(block) for block in blocks]}
    await send_json(send, status, orjson.dumps(document))


def _describe(block: Block) -> dict[str, Any]:
    now = read_monotonic_clock()
    return {
        'service': next(service for service, _ in block.keys),
        'parts': sorted(name for _, name in block.keys),
        'failing_for_s': round(now - block.since, 3),
        'last_request_s': round(now - block.seen_at, 3),
        'rejected_here': block.rejected,
    }

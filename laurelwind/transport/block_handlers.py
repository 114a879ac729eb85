"""The operator interface to requests that crash endpoints."""

from collections.abc import Sequence
from urllib.parse import parse_qs

from attrs import frozen

from laurelwind.coordination.suspects.lifting import lift_blocks
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.state.blocks import Block
from laurelwind.state.load import read_monotonic_clock
from laurelwind.transport.application import Resource
from laurelwind.transport.caller_exchange import CallerExchange
from laurelwind.transport.operator_handlers import OperatorAuthenticator


@frozen(kw_only=True)
class BlockView:
    """A request that is rejected, as it crashes endpoints.

    :ivar pool: name of the pool whose endpoints it crashes.
    :ivar names: its name, which its repeats share.
    :ivar failing_for_s: seconds for which all attempts have failed.
    :ivar last_request_s: seconds since it came last, to any daemon.
    :ivar rejected_here: how often this daemon rejected it.
    """

    pool: str
    names: Sequence[str]
    failing_for_s: float
    last_request_s: float
    rejected_here: int


@frozen(kw_only=True)
class BlocksView:
    """Requests that are rejected, as they crash endpoints.

    :ivar blocks: the requests.
    """

    blocks: Sequence[BlockView]


class BlockHandlers:
    """Handlers of the blocked requests for operators.

    :param authenticator: authenticates operators.
    :param screen: holds the blocks.
    """

    def __init__(
        self, *, authenticator: OperatorAuthenticator, screen: SuspectScreen
    ) -> None:
        self._authenticator = authenticator
        self._screen = screen

    def list_resources(self) -> Sequence[Resource]:
        """List the resources of these handlers."""
        return (
            Resource(
                path='/admin/v1/blocks',
                methods={'GET': self.list_blocks},
                answers={'GET': BlocksView},
            ),
            Resource(
                path='/admin/v1/blocks/lift',
                methods={'POST': self.lift_block},
                answers={'POST': BlocksView},
                query_names=('pool', 'name'),
            ),
        )

    async def list_blocks(self, exchange: CallerExchange) -> None:
        """List the requests that are rejected, as they crash endpoints.

        :param exchange: the operator's request.
        """
        self._authenticator.authenticate(exchange)
        await exchange.send_json(_build_view(self._screen.blocks))

    async def lift_block(self, exchange: CallerExchange) -> None:
        """Accept a request again at all daemons; answer with what was lifted.

        :param exchange: the operator's request.
        """
        self._authenticator.authenticate(exchange)
        query = parse_qs(exchange.query)
        key = (query.get('pool', [''])[0], query.get('name', [''])[0])
        lifted = lift_blocks(self._screen, key)
        await exchange.send_json(_build_view(lifted))


def _build_view(blocks: Sequence[Block]) -> BlocksView:
    now = read_monotonic_clock()
    return BlocksView(
        blocks=tuple(
            BlockView(
                pool=next(pool for pool, _ in block.keys),
                names=sorted(name for _, name in block.keys),
                failing_for_s=round(now - block.since, 3),
                last_request_s=round(now - block.seen_at, 3),
                rejected_here=block.rejected,
            )
            for block in blocks
        )
    )

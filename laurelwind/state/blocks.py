"""Groups of suspects whose requests are rejected."""

from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Final

from attrs import evolve, frozen

from laurelwind.state.crash_reports import (
    SuspectKey,
    SuspectKeys,
    select_requests,
)

# Seconds without a request after which a group of parts is forgotten.
BLOCK_TTL_S: Final = 600.0
# Seconds for which a whole request is blocked; each further time is twice as
# long, up to ``BLOCK_TTL_S``.  Others may send a sound request all the time, so
# that its block must end though it comes again.
REQUEST_TERM_S: Final = 60.0
# Groups that are kept. Each one took several endpoints down, so that more are
# not expected.
MAX_BLOCKS: Final = 64


@frozen(kw_only=True)
class Block:
    """A group of suspects; a request that holds all of them is rejected.

    Moments are on the monotonic clock.

    :ivar keys: the suspects.
    :ivar since: moment since which all attempts with the suspects have failed.
    :ivar seen_at: moment of the last request that held them, at any daemon.
    :ivar rounds: how often the request was blocked before.
    :ivar rejected: requests that the local daemon rejected.
    """

    keys: SuspectKeys
    since: float
    seen_at: float
    rounds: int = 0
    rejected: int = 0

    @property
    def ends_at(self) -> float:
        """Moment at which the block ends by itself."""
        if not select_requests(self.keys):
            return self.seen_at + BLOCK_TTL_S
        term_s = REQUEST_TERM_S * (1 << self.rounds)
        return self.since + min(term_s, BLOCK_TTL_S)

    def describe(self) -> Mapping[str, object]:
        """Return the fields of its log lines."""
        return {
            'service': next(service for service, _ in self.keys),
            'parts': sorted(name for _, name in self.keys),
            'rejected': self.rejected,
        }


class Blocks:
    """The blocks in force."""

    def __init__(self) -> None:
        self._blocks: dict[SuspectKeys, Block] = {}
        # How often requests were blocked, whose blocks have ended.
        self._rounds: dict[SuspectKeys, int] = {}

    @property
    def former(self) -> Collection[SuspectKeys]:
        """Requests whose blocks have ended, and that were not answered since.

        Their next crash blocks them again.
        """
        return self._rounds.keys()

    @property
    def groups(self) -> Collection[SuspectKeys]:
        """Groups of suspects that are blocked."""
        return self._blocks.keys()

    def list_all(self, now: float) -> list[Block]:
        """List the blocks in force.

        :param now: the current moment.
        """
        return [
            block for block in self._blocks.values() if now <= block.ends_at
        ]

    def end(self, now: float) -> Sequence[Block]:
        """Remove the blocks that have ended by themselves; return them.

        :param now: the current moment.
        """
        ended = [
            block for block in self._blocks.values() if now > block.ends_at
        ]
        for block in ended:
            self._blocks.pop(block.keys)
            if select_requests(block.keys):
                self._rounds[block.keys] = block.rounds + 1
        while len(self._rounds) > MAX_BLOCKS:
            self._rounds.pop(next(iter(self._rounds)))
        return ended

    def count_rounds(self, keys: SuspectKeys) -> int:
        """Return how often a request was blocked before.

        :param keys: the request.
        """
        return self._rounds.get(keys, 0)

    def add(self, block: Block) -> bool:
        """Add a block; return whether it rejects further requests.

        :param block: the block, which may be known.
        """
        known = self._blocks.get(block.keys)
        if known is not None:
            self._blocks[block.keys] = evolve(
                known,
                # Each repeat shows the moment a little later.
                since=min(known.since, block.since),
                seen_at=max(known.seen_at, block.seen_at),
                rounds=max(known.rounds, block.rounds),
            )
            return False
        is_covered = any(group < block.keys for group in self._blocks)
        if is_covered or not block.keys or len(self._blocks) >= MAX_BLOCKS:
            return False
        for group in tuple(self._blocks):
            if block.keys < group:
                self._blocks.pop(group)
        self._blocks[block.keys] = block
        return True

    def find(self, keys: SuspectKeys, now: float) -> Block | None:
        """Return the block that rejects a request, or ``None``.

        :param keys: suspects of the request.
        :param now: the current moment.
        """
        for block in self.list_all(now) if self._blocks else ():
            if block.keys <= keys:
                return block
        return None

    def count_request(self, block: Block, now: float) -> None:
        """Count a request that a block rejects.

        :param block: the block.
        :param now: the current moment.
        """
        self._blocks[block.keys] = evolve(
            block, seen_at=now, rejected=block.rejected + 1
        )

    def clear(
        self, key: SuspectKey, answered_at: float
    ) -> Iterator[tuple[Block, SuspectKeys]]:
        """Take a suspect out of the blocks that an answer disproves.

        :param key: the suspect.
        :param answered_at: moment at which an answer with the suspect began.
        :returns: the blocks that change, and the suspects that remain of each.
        """
        self._rounds.pop(frozenset((key,)), None)
        for group, block in tuple(self._blocks.items()):
            if key in group and block.since <= answered_at:
                self._blocks.pop(group)
                remaining = group - {key}
                self.add(evolve(block, keys=remaining))
                yield block, remaining

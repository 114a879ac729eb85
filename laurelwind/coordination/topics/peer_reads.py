"""Reads the copies of topics that other daemons hold."""

import itertools
from collections.abc import Callable, Sequence
from typing import Final

import anyio
from attrs import evolve, frozen

from laurelwind.coordination.topics.budgets import TopicBudgets
from laurelwind.coordination.topics.sources import (
    ZoneOrder,
    build_zone_order,
)
from laurelwind.coordination.topics.suspensions import SourceSuspensions
from laurelwind.decisions import DecisionLog
from laurelwind.errors import PlatformError
from laurelwind.protocol.keyed_store import (
    Batch,
    PeerTopics,
    StaleCopyError,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance

# Sources that are asked in one read. One that has an old copy answers at once.
MAX_SOURCES: Final = 16
# Other daemons that are asked in one read.
MAX_OTHERS: Final = 4


@frozen(kw_only=True)
class TopicRead:
    """One read of a topic.

    :ivar topic: topic to read.
    :ivar offset: offset of the first record, or ``None`` for the newest record
        of each key.
    :ivar wait_s: longest wait for the first record.
    :ivar started_at: start of the read.
    """

    topic: Topic
    offset: int | None
    wait_s: float
    started_at: float

    def shift(self, batch: Batch, begun_at: float) -> Batch:
        """Make the lag of a batch refer to the start of this read.

        :param batch: the batch.
        :param begun_at: start of the call that returned it.
        """
        return evolve(batch, lag_s=batch.lag_s - (begun_at - self.started_at))


@frozen(kw_only=True)
class PeerReadDependencies:
    """Collaborators of a PeerReader.

    :ivar peers: client for the topic copies of peers.
    :ivar list_members: returns all daemons, in the same order on every daemon.
    :ivar budgets: budget for the age of each topic.
    :ivar log: the decision log.
    :ivar clock: returns the current time in seconds.
    """

    peers: PeerTopics
    list_members: Callable[[], Sequence[ListedInstance]]
    budgets: TopicBudgets
    log: DecisionLog
    clock: Callable[[], float]


class PeerReader:
    """Chooses the daemons whose copies are read, and reads them.

    :param local_instance: member record of the local daemon.
    :param dependencies: collaborators.
    :ivar order: place of the local daemon in the order of its zone.
    :ivar answers: number of answers of other daemons, also that a copy is too
        old.
    """

    def __init__(
        self,
        *,
        local_instance: ListedInstance,
        dependencies: PeerReadDependencies,
    ) -> None:
        self.order = ZoneOrder()
        self.answers = 0
        self._local_instance = local_instance
        self._dependencies = dependencies
        self._members: Sequence[ListedInstance] = ()
        self._suspensions = {
            topic: SourceSuspensions(budget=budget, clock=dependencies.clock)
            for topic, budget in dependencies.budgets.items()
        }
        self._chosen_sources: dict[Topic, str] = {}

    def update_order(self) -> None:
        """Take over the current members."""
        members = self._dependencies.list_members()
        if members is self._members:
            return
        self._members = members
        self.order = build_zone_order(self._local_instance, members)
        for suspensions in self._suspensions.values():
            suspensions.retain(members)

    def list_sources(self, topic: Topic) -> Sequence[ListedInstance]:
        """List the sources of a topic, in order of preference.

        It is empty if the local daemon is to read the store itself.

        :param topic: the topic.
        """
        sources = self.order.list_sources(self._suspensions[topic].is_available)
        chosen = sources[0].name if sources else 'the store'
        if self._chosen_sources.get(topic) != chosen:
            self._chosen_sources[topic] = chosen
            self._dependencies.log.log_warning(
                'source_chosen',
                topic=topic.value,
                source=chosen,
                position=self.order.position,
                members=len(self._members),
            )
        return sources

    async def read_sources(
        self, read: TopicRead, *, leave_at: float, read_at: float
    ) -> Batch | None:
        """Read from the sources until the store is to be read.

        Each source that fails is replaced by the next daemon in the order of
        the zone. That one finds out as well that its sources fail, and reads
        the store, so it is worth waiting for.

        :param read: the read.
        :param leave_at: moment at which the first source is left.
        :param read_at: moment at which the store is to be read.
        :returns: ``None`` if no source has a recent copy.
        """
        budget = self._dependencies.budgets[read.topic]
        wait_s = read.wait_s
        wait_until = leave_at
        for _ in range(MAX_SOURCES):
            sources = self.list_sources(read.topic)
            now = self._dependencies.clock()
            if not sources or now >= read_at + budget.peer_answer_s:
                return None
            left_s = max(wait_until - now, 0)
            if self._suspensions[read.topic].has_been_stale(sources[0]):
                left_s = 0
            batch = await self._ask(
                sources[0],
                read,
                wait_s=min(wait_s, left_s),
                refresh_wait_s=left_s,
            )
            if batch is not None:
                return batch
            wait_s = 0
            wait_until = read_at
        return None

    async def read_anyone(
        self, read: TopicRead, *, leave_at: float, recovery_wait_s: float
    ) -> Batch | None:
        """Read from any daemon, as the store fails the local one.

        :param read: the read.
        :param leave_at: moment until which to wait for a first record.
        :param recovery_wait_s: longest wait for the copy of a source to be
            recent again.
        :returns: ``None`` if no daemon that was asked has a recent copy.
        """
        suspensions = self._suspensions[read.topic]
        available = filter(suspensions.is_available, self.order.others)
        for member in tuple(itertools.islice(available, MAX_OTHERS)):
            batch = await self._ask(
                member, read, wait_s=self._limit_wait(read, leave_at)
            )
            if batch is not None:
                return batch
        answering = filter(suspensions.is_answering, self.order.others)
        first = next(answering, None)
        if first is None:
            return None
        return await self._ask(
            first, read, refresh_wait_s=min(recovery_wait_s, read.wait_s)
        )

    def _limit_wait(self, read: TopicRead, until: float) -> float:
        left_s = until - self._dependencies.clock()
        return min(read.wait_s, max(left_s, 0))

    async def _ask(
        self,
        source: ListedInstance,
        read: TopicRead,
        *,
        wait_s: float = 0,
        refresh_wait_s: float = 0,
    ) -> Batch | None:
        """Read from one daemon; return ``None`` if it has no recent copy.

        :param source: the daemon.
        :param read: the read.
        :param wait_s: its longest wait for a first record.
        :param refresh_wait_s: its longest wait until an old copy is recent.
        """
        suspensions = self._suspensions[read.topic]
        budget = self._dependencies.budgets[read.topic]
        if suspensions.has_been_silent(source):
            # A frozen source must not take the time of the others again.
            wait_s = 0
            refresh_wait_s = 0
        begun_at = self._dependencies.clock()
        limit_s = max(wait_s, refresh_wait_s) + budget.peer_answer_s
        reason = f'no answer within {limit_s:.2f} s'
        try:
            with anyio.fail_after(limit_s):
                batch = await self._dependencies.peers.read_after(
                    source.peer_address,
                    read.topic,
                    read.offset,
                    wait_s=wait_s,
                    refresh_wait_s=refresh_wait_s,
                )
        except StaleCopyError as error:
            self.answers += 1
            suspensions.record_stale(source)
            reason = error.message
        except PlatformError as error:
            suspensions.record_silence(source)
            reason = error.message
        except TimeoutError:
            suspensions.record_silence(source)
        else:
            self.answers += 1
            # The other daemon may have a larger budget, as its settings differ.
            age_s = self._dependencies.clock() - begun_at + batch.lag_s
            if age_s <= budget.copy_age_s + budget.peer_answer_s:
                suspensions.record_answer(source)
                return read.shift(batch, begun_at)
            suspensions.record_stale(source)
            reason = f'its copy is {age_s:.1f} s old'
        self._dependencies.log.log_info(
            'source_left',
            source=source.name,
            topic=read.topic.value,
            reason=reason,
        )
        return None

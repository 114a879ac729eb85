"""Follows the configuration stream and holds the configuration in force."""

import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

import anyio
from attrs import frozen

from laurelwind.errors import (
    CapacityError,
    ConfigurationError,
    ErrorKind,
    PlatformError,
    RunState,
)
from laurelwind.events import log_event
from laurelwind.protocol.platform import Log
from laurelwind.state.configuration import (
    Configuration,
    ConfigurationHistory,
    Decision,
    Verdict,
)
from laurelwind.state.identity import create_identifier
from laurelwind.state.records import (
    CONFIGURATION_STREAM,
    PublishRecord,
    SnapshotRecord,
)
from laurelwind.state.validation import read_document

_LONG_POLL_S: Final = 2.0
_RETRY_INTERVAL_S: Final = 0.5
_DECISION_TIMEOUT_S: Final = 5.0
# Readers may be cut from the log, so the other daemons read it as well: all
# together so many times a second, each at an interval within limits.
_OTHER_READS_PER_S: Final = 5
_MIN_OTHER_INTERVAL_S: Final = 2.0
_MAX_OTHER_INTERVAL_S: Final = 20.0
# Factors of the interval, which spread daemons that were started together.
_INTERVAL_JITTER: Final = (0.5, 1.5)


@frozen(kw_only=True)
class Publication:
    """Accepted proposal of an operator.

    :ivar offset: offset at which it was accepted; base of the next proposal.
    """

    offset: int


@frozen(kw_only=True)
class FollowerStatus:
    """Progress of a daemon in the configuration stream.

    :ivar offset: offset of the configuration in force, or -1.
    :ivar read_to: offset of the last record read, or -1.
    :ivar log_reachable: whether the last read succeeded.
    """

    offset: int
    read_to: int
    log_reachable: bool


class ConfigurationFollower:
    """Holds the configuration in force and publishes operators' proposals.

    :param log: the platform's log.
    """

    def __init__(self, *, log: Log) -> None:
        self._log = log
        self._should_read: Callable[[], bool] = lambda: True
        self._count_members: Callable[[], int] = lambda: 1
        self._history = ConfigurationHistory()
        self._listeners: list[Callable[[Configuration], None]] = []
        self._reachable = False
        self._quarantined: frozenset[tuple[str, str]] = frozenset()

    @property
    def current(self) -> Configuration:
        """The configuration in force.

        :raises CapacityError: if no configuration is in force yet.
        """
        if self._history.current is None:
            raise CapacityError(
                ErrorKind.NOT_READY,
                'no configuration is in force yet',
            )
        return self._history.current

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force."""
        return self._history.current is not None

    @property
    def quarantined(self) -> frozenset[tuple[str, str]]:
        """Pairs of version and workspace; an empty workspace means all."""
        return self._quarantined

    @property
    def lifted_quarantine_ids(self) -> set[str]:
        """Identifiers of the quarantine decisions that were lifted."""
        return self._history.lifted_quarantine_ids

    @property
    def status(self) -> FollowerStatus:
        """Current progress in the stream."""
        return FollowerStatus(
            offset=self._history.accepted,
            read_to=self._history.read_to,
            log_reachable=self._reachable,
        )

    @property
    def decisions(self) -> tuple[Decision, ...]:
        """The latest decisions, oldest first."""
        return tuple(self._history.decisions)

    def set_read_condition(
        self, should_read: Callable[[], bool], count_members: Callable[[], int]
    ) -> None:
        """Read the log continuously only while a condition holds.

        :param should_read: returns whether this daemon is one of the readers.
        :param count_members: returns the number of daemons.
        """
        self._should_read = should_read
        self._count_members = count_members

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Add a listener for changes of the configuration in force.

        :param listener: called with the new configuration.
        """
        self._listeners.append(listener)

    def adopt(self, configuration: Configuration) -> bool:
        """Adopt a configuration of a peer if it is newer.

        :param configuration: configuration in force at the peer.
        :returns: whether it was adopted.
        """
        is_newer = self._history.adopt(configuration)
        if is_newer:
            self._notify_listeners()
        return is_newer

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            is_reader = self._should_read() or not self.is_ready
            try:
                await self.read_once(wait_s=_LONG_POLL_S if is_reader else 0)
            except PlatformError:
                self._record_reachability(reachable=False)
                await anyio.sleep(_RETRY_INTERVAL_S)
            if not is_reader:
                await self._sleep_between_reads()

    async def read_once(self, *, wait_s: float = 0) -> None:
        """Read and apply the entries after the last one read.

        :param wait_s: time for which the log may wait for a new entry, in
            seconds.
        :raises PlatformError: if the log cannot be read.
        """
        page = await self._log.read(
            CONFIGURATION_STREAM,
            self._history.read_to + 1,
            wait_s=wait_s,
        )
        self._record_reachability(reachable=True)
        self._history.record_gap(page.earliest)
        previous_offset = self._history.accepted
        for entry in page.entries:
            self._history.apply(entry)
        self._quarantined = frozenset(
            (record.reference, record.workspace)
            for record in self._history.quarantines
        )
        if self._history.accepted != previous_offset:
            self._notify_listeners()

    async def read_history(self) -> Sequence[Decision]:
        """Read every decision that the log still contains.

        :raises PlatformError: if the log cannot be read.
        """
        history = ConfigurationHistory()
        while True:
            page = await self._log.read(
                CONFIGURATION_STREAM, history.read_to + 1
            )
            history.record_gap(page.earliest)
            if not page.entries:
                return tuple(history.decisions)
            for entry in page.entries:
                history.apply(entry)

    async def publish(
        self,
        *,
        document: Mapping[str, Any],
        base: int,
        author: str,
    ) -> Publication:
        """Propose a document and wait until it is accepted or rejected.

        :param document: complete document as plain JSON types.
        :param base: offset of the accepted document that it replaces.
        :param author: name of the operator.
        :raises ConfigurationError: if the document is invalid, or another
            proposal was accepted first.
        :raises PlatformError: if the proposal was not decided in time.
        """
        read_document(document)
        history = self._history.copy()
        record = PublishRecord(
            publish_id=create_identifier(),
            base=base,
            author=author,
            published_at=time.time(),
            document=document,
        )
        try:
            await self._log.append(CONFIGURATION_STREAM, (record,))
        except PlatformError as error:
            log_event('publish_unanswered', reason=error.message)
        decision = await self._wait_for_decision(record.publish_id, history)
        return _build_publication(decision, history)

    async def refresh_snapshot(self) -> bool:
        """Append a snapshot of the document in force before its record expires.

        :returns: whether a configuration is in force to append.
        :raises PlatformError: if the log did not accept the snapshot.
        """
        current = self._history.current
        if current is None:
            return False
        record = SnapshotRecord(
            accepted=current.offset,
            decided=self._history.read_to,
            author=current.author,
            document=current.raw,
            quarantines=tuple(self._history.quarantines),
        )
        await self._log.append(CONFIGURATION_STREAM, (record,))
        return True

    async def _sleep_between_reads(self) -> None:
        interval_s = self._count_members() / _OTHER_READS_PER_S
        interval_s = min(
            max(interval_s, _MIN_OTHER_INTERVAL_S), _MAX_OTHER_INTERVAL_S
        )
        jitter = random.uniform(*_INTERVAL_JITTER)
        with anyio.move_on_after(interval_s * jitter):
            while not self._should_read():
                await anyio.sleep(_RETRY_INTERVAL_S)

    async def _wait_for_decision(
        self, publish_id: str, history: ConfigurationHistory
    ) -> Decision:
        """Apply the stream from before the proposal until it is decided."""
        with anyio.move_on_after(_DECISION_TIMEOUT_S):
            while True:
                await self._read_into(history)
                decision = history.find_decision(publish_id)
                if decision is not None:
                    return decision
        raise PlatformError(
            ErrorKind.LOG_UNAVAILABLE,
            'the proposal was not decided in time; it may still be accepted',
            run=RunState.UNKNOWN,
        )

    async def _read_into(self, history: ConfigurationHistory) -> None:
        try:
            page = await self._log.read(
                CONFIGURATION_STREAM,
                history.read_to + 1,
                wait_s=_RETRY_INTERVAL_S,
            )
        except PlatformError:
            await anyio.sleep(_RETRY_INTERVAL_S)
            return
        history.record_gap(page.earliest)
        for entry in page.entries:
            history.apply(entry)
        if history.current is not None:
            self.adopt(history.current)

    def _notify_listeners(self) -> None:
        current = self.current
        log_event(
            'configuration_in_force',
            offset=current.offset,
            author=current.author,
        )
        for listener in self._listeners:
            listener(current)

    def _record_reachability(self, *, reachable: bool) -> None:
        if reachable != self._reachable:
            log_event('log_reachable', reachable=reachable)
        self._reachable = reachable


def _build_publication(
    decision: Decision, history: ConfigurationHistory
) -> Publication:
    if decision.verdict is Verdict.ACCEPTED:
        return Publication(offset=decision.offset)
    if decision.verdict is Verdict.INVALID:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID, 'the document is invalid'
        )
    author = history.find_author(decision.winner)
    raise ConfigurationError(
        ErrorKind.CONFIGURATION_CONFLICT,
        'another proposal was accepted first: '
        f'offset {decision.winner} by {author}',
    )

"""Work hints: datagrams about the work and the failures at endpoints.

Hints are exchanged by the daemons of an availability zone.  They are small,
soon out of date and may be lost.  Hints of the same moment share a datagram,
and no request waits until it is sent.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

import anyio
import orjson
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.protocol.datagrams import DatagramChannel

# No hints are sent for shorter work: it ends before a hint could affect the
# placement by other daemons.
MIN_WORK_S: Final = 0.1
# Seconds for which hints are collected.
BATCH_DELAY_S: Final = 0.01
# Endpoints in one datagram, which stays within the smallest MTU.
_MAX_ROWS: Final = 20
_MAX_WORK_S: Final = 60.0
# Rows about endpoints that are about to stop have a fourth field.
_ROW_LENGTHS: Final = frozenset((3, 4))


@frozen(kw_only=True)
class HintListener:
    """Receives the hints of other daemons.

    :ivar record_work: called with the name of an endpoint and its additional
        work in seconds.
    :ivar record_loss: called with the name of an endpoint and the seconds that
        a failed request spent there.
    :ivar record_leaving: called with the name of an endpoint that is about to
        stop and the start time of its process, in Unix milliseconds.
    """

    record_work: Callable[[str, float], None]
    record_loss: Callable[[str, float], None]
    record_leaving: Callable[[str, int], object]


class WorkHints:
    """Sends and receives work hints.

    :param channel: sends and receives datagrams.
    :param list_peers: returns the addresses of the daemons to notify.
    :param listener: receives the hints of other daemons.
    """

    def __init__(
        self,
        *,
        channel: DatagramChannel,
        list_peers: Callable[[], Iterable[str]],
        listener: HintListener,
    ) -> None:
        self._channel = channel
        self._list_peers = list_peers
        self._listener = listener
        # Work and loss in seconds, by endpoint.
        self._pending: dict[str, tuple[float, float]] = {}
        # Start times in Unix milliseconds, by endpoint that is about to stop.
        self._pending_leaving: dict[str, int] = {}
        self._has_pending = anyio.Event()
        channel.add_listener(self._receive)

    def start(self, group: TaskGroup) -> None:
        """Start to send hints.

        :param group: task group of the daemon.
        """
        group.start_soon(self._send_batches)

    def notify_work(self, endpoint: str, work_s: float) -> None:
        """Notify the peers of work that was sent to an endpoint.

        :param endpoint: name of the endpoint.
        :param work_s: expected duration of the work in seconds.
        """
        if work_s >= MIN_WORK_S:
            self._add(endpoint, work_s, 0)

    def notify_loss(self, endpoint: str, lost_s: float) -> None:
        """Notify the peers of a request that failed at an endpoint.

        :param endpoint: name of the endpoint.
        :param lost_s: seconds that the request spent there.
        """
        self._add(endpoint, 0, lost_s)

    def notify_leaving(self, endpoint: str, started_ms: int) -> None:
        """Notify the peers of an endpoint that is about to stop.

        :param endpoint: name of the endpoint.
        :param started_ms: start time of its process, in Unix milliseconds.
        """
        self._pending_leaving[endpoint] = started_ms
        self._has_pending.set()

    def _add(self, endpoint: str, work_s: float, lost_s: float) -> None:
        work_before_s, lost_before_s = self._pending.get(endpoint, (0, 0))
        self._pending[endpoint] = (
            work_before_s + work_s,
            max(lost_before_s, lost_s),
        )
        self._has_pending.set()

    async def _send_batches(self) -> None:
        while True:
            await self._has_pending.wait()
            await anyio.sleep(BATCH_DELAY_S)
            self._has_pending = anyio.Event()
            rows = self._take_rows()
            for start in range(0, len(rows), _MAX_ROWS):
                datagram = orjson.dumps(rows[start : start + _MAX_ROWS])
                for peer in self._list_peers():
                    await self._channel.send(peer, datagram)

    def _take_rows(self) -> list[list[Any]]:
        rows: list[list[Any]] = [
            [name, round(work_s, 3), round(lost_s, 3)]
            for name, (work_s, lost_s) in self._pending.items()
        ]
        rows.extend(
            [name, 0, 0, started_ms]
            for name, started_ms in self._pending_leaving.items()
        )
        self._pending.clear()
        self._pending_leaving.clear()
        return rows

    def _receive(self, document: Any) -> None:
        for hint in _decode_hints(document):
            self._dispatch(hint)

    def _dispatch(self, hint: '_Hint') -> None:
        if hint.work_s:
            self._listener.record_work(hint.endpoint, hint.work_s)
        if hint.lost_s:
            self._listener.record_loss(hint.endpoint, hint.lost_s)
        if hint.left_ms is not None:
            self._listener.record_leaving(hint.endpoint, hint.left_ms)


@frozen(kw_only=True)
class _Hint:
    """One row of a datagram.

    :ivar endpoint: name of the endpoint.
    :ivar work_s: additional work in seconds.
    :ivar lost_s: seconds that a failed request spent there.
    :ivar left_ms: start time of the process that is about to stop, or ``None``.
    """

    endpoint: str
    work_s: float
    lost_s: float
    left_ms: int | None = None


def _decode_hints(rows: Any) -> Iterator[_Hint]:
    if not isinstance(rows, list):
        return
    if rows and isinstance(rows[0], str):
        # Daemons of the release before send one endpoint without a loss.
        rows = [[*rows, 0]] if len(rows) == 2 else []
    for row in rows:
        if _is_hint(row):
            name, work_s, lost_s, *rest = row
            yield _Hint(
                endpoint=name,
                work_s=_limit(work_s),
                lost_s=_limit(lost_s),
                left_ms=rest[0] if rest else None,
            )


def _is_hint(row: Any) -> bool:
    if not isinstance(row, list) or len(row) not in _ROW_LENGTHS:
        return False
    name, work_s, lost_s, *rest = row
    if not all(isinstance(start, int) for start in rest):
        return False
    return isinstance(name, str) and all(
        isinstance(duration_s, int | float) for duration_s in (work_s, lost_s)
    )


def _limit(duration_s: float) -> float:
    return min(max(float(duration_s), 0), _MAX_WORK_S)

"""Checks that daemons apply new routing tables in time, by their logs."""

import time
from collections.abc import Iterator

import anyio
import orjson
from attrs import frozen

from soak import bounds
from soak.fleet import Fleet
from soak.tables import VERSION_STEP

_EVENT = b'"event":"table_in_force"'


@frozen(kw_only=True)
class Application:
    """A routing table that a daemon put in force in place of another.

    :ivar applied_at: moment, on the clock of the soak.
    :ivar number: number of the table, from 1.
    :ivar previous: number of the table before it.
    """

    applied_at: float
    number: int
    previous: int


def check_applications(fleet: Fleet) -> Iterator[str]:
    """Yield a line for each table that a sound daemon put in force too late.

    Faults of the daemon and of the store's service for it excuse it, those of
    other daemons do not, whether it reads from them or not.

    :param fleet: published tables, fault windows, and daemons with their logs.
    """
    clock_offset_s = time.time() - anyio.current_time()
    for daemon in fleet.daemons:
        log = (fleet.folder / f'{daemon.name}.log').read_bytes()
        for application in _list_applications(log, clock_offset_s):
            # A folder that is kept has the logs of earlier runs as well.
            if application.applied_at < fleet.tables[0].published_at:
                continue
            # The first table that it could have applied.
            number = application.previous + 1
            published_at = fleet.tables[number - 1].published_at
            due_at = published_at + bounds.APPLY_S
            if application.applied_at > due_at and fleet.is_undisturbed(
                daemon, published_at, due_at
            ):
                late_s = application.applied_at - published_at
                yield (
                    f'apply: {daemon.name} put table {application.number} in'
                    f' force at {application.applied_at:.2f}, {late_s:.2f} s'
                    f' after table {number} was published'
                )


def _list_applications(
    log: bytes, clock_offset_s: float
) -> Iterator[Application]:
    for line in log.splitlines():
        # Standard error is in the log as well.
        if _EVENT not in line:
            continue
        fields = orjson.loads(line)
        # The first table of a process replaces none.
        if fields['before'] is not None:
            yield Application(
                applied_at=fields['time'] - clock_offset_s,
                number=fields['version'] // VERSION_STEP,
                previous=fields['before'] // VERSION_STEP,
            )

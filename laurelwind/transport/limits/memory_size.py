"""Memory that the system grants the process."""

import contextlib
import resource
from collections.abc import Iterator
from pathlib import Path
from typing import Final

_GROUPS: Final = Path('/proc/self/cgroup')
_GROUP_FOLDER: Final = Path('/sys/fs/cgroup')
# Values from here on stand for no limit.
_UNLIMITED: Final = 2**60
_RESOURCES: Final = (resource.RLIMIT_AS, resource.RLIMIT_DATA)


def read_memory_bytes(groups: Path = _GROUPS) -> int | None:
    """Return the smallest limit on the memory of the process, if there is one.

    :param groups: file that lists the control groups of the process.
    """
    limits = [
        *(resource.getrlimit(kind)[0] for kind in _RESOURCES),
        *_iterate_group_limits(groups),
    ]
    return min(
        (limit for limit in limits if 0 < limit < _UNLIMITED), default=None
    )


def _iterate_group_limits(groups: Path) -> Iterator[int]:
    for path in _iterate_limit_files(groups):
        # The file may not be visible here, or hold `max`.
        with contextlib.suppress(OSError, ValueError):
            yield int(path.read_text())


def _iterate_limit_files(groups: Path) -> Iterator[Path]:
    try:
        lines = groups.read_text().splitlines()
    except OSError:
        return
    for line in lines:
        _, controllers, group = line.split(':', 2)
        name = group.removeprefix('/')
        if not controllers:
            yield _GROUP_FOLDER / name / 'memory.max'
            yield _GROUP_FOLDER / 'memory.max'
        elif 'memory' in controllers.split(','):
            folder = _GROUP_FOLDER / 'memory'
            yield folder / name / 'memory.limit_in_bytes'
            yield folder / 'memory.limit_in_bytes'

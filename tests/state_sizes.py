"""Sizes of all containers that an object holds, directly or through others."""

import functools
import types
from collections import Counter, deque
from collections.abc import Mapping

CONTAINERS = (list, set, frozenset, tuple, deque)
# Objects of other libraries that hold state by name.
MODULES = ('laurelwind', 'prometheus_client')


def measure_containers(root):
    """Count the elements of each container, by its path from the root."""
    sizes = Counter()
    seen = set()
    pending = [('', root)]
    while pending:
        path, item = pending.pop()
        if id(item) in seen or isinstance(item, str | bytes | int | float):
            continue
        seen.add(id(item))
        pending.extend(_list_parts(path, item, sizes))
    return sizes


def _list_parts(path, item, sizes):
    if isinstance(item, Mapping):
        sizes[path] += len(item)
        return [(f'{path}[]', part) for pair in item.items() for part in pair]
    if isinstance(item, CONTAINERS):
        sizes[path] += len(item)
        return [(f'{path}[]', part) for part in item]
    if isinstance(
        item, types.FunctionType | types.MethodType | functools.partial
    ):
        return [(f'{path}()', part) for part in _list_bound(item)]
    if not type(item).__module__.startswith(MODULES):
        return []
    return [(f'{path}.{name}', part) for name, part in _list_fields(item)]


def _list_bound(item):
    """List what a callable holds."""
    if isinstance(item, types.MethodType):
        return [item.__self__]
    if isinstance(item, types.FunctionType):
        return [cell.cell_contents for cell in item.__closure__ or ()]
    if isinstance(item, functools.partial):
        return [item.func, *item.args]
    return []


def _list_fields(item):
    yield from vars(item).items() if hasattr(item, '__dict__') else ()
    for kind in type(item).__mro__:
        for name in getattr(kind, '__slots__', ()):
            if name != '__weakref__' and hasattr(item, name):
                yield name, getattr(item, name)

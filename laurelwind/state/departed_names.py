"""Names whose state is kept for a while after they left."""

from collections.abc import Iterator


class DepartedNames:
    """The names that left last, up to a limit.

    Some state must outlive its name: a version that was rejected, or the last
    report of an endpoint, may come back from a copy or a restored store.

    :param limit: most names that are kept.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._names: dict[str, None] = {}

    def add(self, name: str) -> Iterator[str]:
        """Add a name as the newest, and iterate over those to be forgotten.

        :param name: the name that left.
        """
        self._names.pop(name, None)
        self._names[name] = None
        while len(self._names) > self._limit:
            oldest = next(iter(self._names))
            self._names.pop(oldest)
            yield oldest

    def discard(self, name: str) -> None:
        """Remove a name that is there again.

        :param name: the name.
        """
        self._names.pop(name, None)

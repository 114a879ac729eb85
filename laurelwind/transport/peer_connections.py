"""Bounds the connections that other daemons open to a pynng socket."""

import pynng


class PeerConnections:
    """Refuses connections to a socket beyond a limit.

    The callbacks run in a thread of the library, one at a time. The library's
    own table of connections is not used: it keeps entries of some connections
    that ended as they began.

    :param limit: most connections that are open at once.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._open: set[int] = set()

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def watch(self, listener: pynng.Socket) -> None:
        """Begin to count the connections of a socket.

        :param listener: a socket that does not listen yet.
        """
        listener.add_pre_pipe_connect_cb(self._add)
        listener.add_post_pipe_remove_cb(self._remove)

    def _add(self, pipe: pynng.Pipe) -> None:
        if len(self._open) >= self._limit:
            pipe.close()
            return
        self._open.add(pipe.id)

    def _remove(self, pipe: pynng.Pipe) -> None:
        self._open.discard(pipe.id)

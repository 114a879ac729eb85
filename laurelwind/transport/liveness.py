"""Socket options that detect dead peers."""

import socket
from typing import Final

# The system closes a connection whose sent bytes stay unacknowledged this long.
USER_TIMEOUT_MS: Final = 2500
# Bytes that a peer's receive buffer takes while its program reads nothing.  The
# system also closes a connection whose peer acknowledges, but has had no room
# for that long.
MAX_UNREAD_BYTES: Final = 32768
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2
_MS_PER_S: Final = 1000


def set_liveness_options(raw: socket.socket) -> None:
    """Enable detection of dead peers, and disable Nagle's algorithm.

    :param raw: connected TCP socket.
    """
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, setting)


def set_user_timeout(
    raw: socket.socket, *, request_bytes: int, deadline_s: float
) -> None:
    """Set how long sent bytes may stay unacknowledged.

    A peer may leave a long request unread until the deadline.

    :param raw: connected TCP socket.
    :param request_bytes: size of the request that is sent next.
    :param deadline_s: seconds that remain for the request.
    """
    timeout_ms = USER_TIMEOUT_MS
    if request_bytes > MAX_UNREAD_BYTES:
        timeout_ms = max(timeout_ms, round(deadline_s * _MS_PER_S))
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

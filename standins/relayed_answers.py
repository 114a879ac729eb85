"""Answers of stand-in endpoints behind the relay."""

import random
import re
from collections.abc import Mapping
from typing import Final

from anyio.abc import SocketStream

# Events of every stream.
EVENT_COUNT: Final = 6
# Sizes of what is sent without end: of a piece, and of all until a caller that
# does not close is given up.
_PIECE_BYTES: Final = 65536
_FLOOD_BYTES: Final = 67_108_864
_SIZE: Final = re.compile(rb'^[A-Z]+ /[^ ]*?/([0-9]+) ')


def read_headers(head: bytes) -> Mapping[bytes, bytes]:
    """Return the headers of a request, by name in lower case.

    :param head: head of the request.
    """
    headers = {}
    for line in head.split(b'\r\n')[1:]:
        name, _, raw_value = line.partition(b': ')
        headers[name.lower()] = raw_value
    return headers


def read_size(head: bytes) -> int:
    """Return the size of the answer that a request asks for.

    :param head: head of the request.
    :returns: the last part of its path, or 1 without a number there.
    """
    match = _SIZE.match(head)
    return 1 if match is None else int(match[1])


def encode_answer(request_id: bytes, size: int = 1) -> bytes:
    """Encode the body of a request's plain answer.

    :param request_id: id of the request.
    :param size: bytes of the body; the id is never shortened.
    """
    count = max(size, len(request_id))
    return (request_id * (count // len(request_id) + 1))[:count]


def encode_each_event(request_id: bytes, size: int = 1) -> list[bytes]:
    """Encode the events of a request's stream; their ids count from 1.

    :param request_id: id of the request.
    :param size: bytes by which the data of all events are padded.
    """
    padding = b'.' * (size // EVENT_COUNT)
    return [
        b'id: %d\ndata: %b-%d%b\n\n' % (number, request_id, number, padding)
        for number in range(1, EVENT_COUNT + 1)
    ]


def encode_events(request_id: bytes, size: int = 1) -> bytes:
    """Encode the complete stream of a request.

    :param request_id: id of the request.
    :param size: bytes by which the data of all events are padded.
    """
    return b''.join(encode_each_event(request_id, size))


def encode_chunk(body: bytes) -> bytes:
    """Encode a chunk of an answer without length.

    :param body: content of the chunk.
    """
    return b'%x\r\n%b\r\n' % (len(body), body)


async def send_refusal(
    stream: SocketStream,
    head_template: bytes,
    status: bytes,
    lines: bytes = b'',
) -> None:
    """Refuse a request that did not run.

    :param stream: connection of the caller.
    :param head_template: head of an answer, without its status.
    :param status: status code and reason.
    :param lines: further header lines.
    """
    rest = b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    await stream.send(b'%b%b%b' % (head_template % status, lines, rest))


async def send_without_end(
    stream: SocketStream, head_template: bytes, rng: random.Random
) -> None:
    """Send bytes that are no answer until the caller closes.

    :param stream: connection of the caller.
    :param head_template: head of an answer, without its status.
    :param rng: random generator that chooses what is sent.
    """
    status = head_template % b'200 OK'
    chunked = b'Transfer-Encoding: chunked\r\n\r\n'
    start, unit = rng.choice(
        (
            (status, b'X-Fill: x\r\n'),
            (b'%bX-Fill: ' % status, b'x'),
            (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
            (b'', b'x'),
            (b'%b%b1;' % (status, chunked), b'x'),
        )
    )
    await stream.send(start)
    piece = unit * (_PIECE_BYTES // len(unit))
    for _ in range(_FLOOD_BYTES // len(piece)):
        await stream.send(piece)

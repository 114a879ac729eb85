"""Bodies of the answers of stand-in endpoints behind the relay."""

import re
from typing import Final

# Events of every stream.
EVENT_COUNT: Final = 6
_SIZE: Final = re.compile(rb'^[A-Z]+ /[^ ]*?/([0-9]+) ')


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

"""Small JSON answers of ASGI applications."""

from starlette.types import Send


async def send_json(send: Send, status: int, body: bytes = b'') -> None:
    """Send a complete answer.

    :param send: ASGI callable that sends a message of the answer.
    :param status: HTTP status code.
    :param body: the encoded document, or nothing.
    """
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', str(len(body)).encode()),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': body})

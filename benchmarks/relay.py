"""Bare relay of uvicorn and httpcore, the baseline of ``overhead.py``."""

import os
import sys

import anyio
import httpcore

from laurelwind.transport.server import HttpServer

POOL = httpcore.AsyncConnectionPool(max_connections=None)


async def relay(scope, receive, send):
    body = b''
    has_more = True
    while has_more:
        message = await receive()
        body += message.get('body', b'')
        has_more = message.get('more_body', False)
    headers = dict(scope['headers'])
    async with POOL.stream(
        'POST',
        f'http://{TARGET}{scope["path"]}',
        headers=[
            (b'x-request-id', headers[b'x-request-id']),
            (b'content-type', b'application/json'),
        ],
        content=body,
    ) as answer:
        await send(
            {
                'type': 'http.response.start',
                'status': answer.status,
                'headers': [(b'content-type', b'text/event-stream')],
            }
        )
        async for chunk in answer.aiter_stream():
            await send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
        await send({'type': 'http.response.body', 'body': b''})


async def main():
    async with anyio.create_task_group() as group:
        server = HttpServer(address='127.0.0.1:0')
        await server.start(group, relay)
        print(server.address, os.getpid(), flush=True)
        await anyio.sleep_forever()


if __name__ == '__main__':
    TARGET = sys.argv[1]
    anyio.run(main)

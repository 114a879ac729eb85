"""Administration addresses that no daemon answers at."""

import socket
import threading

import pytest

from laurelwind.cli.connection import AdminApi, ApiError


def serve_once(answer):
    """Answer one connection with the given bytes; returns the address."""
    listener = socket.create_server(('127.0.0.1', 0))

    def run():
        with listener:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(answer)

    threading.Thread(target=run, daemon=True).start()
    return f'127.0.0.1:{listener.getsockname()[1]}'


@pytest.mark.parametrize(
    'address',
    ['127.0.0.1:99999', 'http://[::1', 'http://x:y', 'ftp://127.0.0.1:1'],
)
def test_an_address_that_is_none_is_an_api_error(address):
    """Commands ended with the error of the HTTP library and its traceback."""
    with pytest.raises(ApiError):
        AdminApi(address=address, key='').get('/')


@pytest.mark.parametrize(
    'answer',
    [
        b'garbage\r\n\r\n',
        b'',
        b'HTTP/1.1 500 -\r\nContent-Length: 1\r\n\r\n7',
        b'HTTP/1.1 404 -\r\nContent-Length: 2\r\n\r\n{}',
        b'HTTP/1.1 200 -\r\nContent-Length: 20\r\n\r\n{}',
        b'HTTP/1.1 400 -\r\nContent-Length: 12\r\n\r\n{"error": 7}',
    ],
)
def test_an_answer_of_no_daemon_is_an_api_error(answer):
    """Commands ended with a traceback, or took a refusal for a document."""
    with pytest.raises(ApiError):
        AdminApi(address=serve_once(answer), key='').get('/')


def test_a_request_without_a_key_is_sent():
    """``laurelwind entries`` sends no key, and ended with a traceback."""
    answer = b'HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\n{}'
    assert AdminApi(address=serve_once(answer), key='').get('/') == {}


def test_a_key_that_no_header_can_hold_is_not_shown():
    """The key was part of the error of the HTTP library."""
    with pytest.raises(ApiError) as raised:
        AdminApi(address=serve_once(b''), key='abc\n').get('/')
    assert 'abc' not in raised.value.message

"""Listen addresses that two sockets or two settings would share."""

import pytest

from laurelwind.errors import ConfigurationError, ListenError
from laurelwind.relay_settings import load_relay_settings
from laurelwind.transport.server import HttpServer
from standins.addresses import find_free_addresses

pytestmark = pytest.mark.anyio

SETTINGS = """
store = "127.0.0.1:9"
[daemon]
name = "d1"
zone = "a"
[listen]
callers = "127.0.0.1:4001"
readiness = "127.0.0.1:4002"
entries = "127.0.0.1:4003"
metrics = "127.0.0.1:4004"
peers = "127.0.0.1:4005"
"""


def find_fault_paths(tmp_path, text):
    path = tmp_path / 'daemon.toml'
    path.write_text(text)
    with pytest.raises(ConfigurationError) as caught:
        load_relay_settings(path)
    return {fault.path: fault.expected for fault in caught.value.faults}


def test_equal_listen_addresses_are_refused_naming_both(tmp_path):
    """Callers got the metrics page: both settings named one address."""
    faults = find_fault_paths(tmp_path, SETTINGS.replace('4004', '4001'))
    assert set(faults) == {'listen.metrics'}
    assert 'listen.callers' in faults['listen.metrics']


def test_port_zero_and_negative_shares_are_refused(tmp_path):
    text = SETTINGS.replace('4002', '0')
    text += '[bounds]\nretry_share = -0.1\nretry_extra = -1\n'
    assert set(find_fault_paths(tmp_path, text)) == {
        'listen.readiness',
        'bounds.retry_share',
        'bounds.retry_extra',
    }


async def test_second_listener_on_an_address_fails_to_start():
    first = HttpServer(address='127.0.0.1:0')
    with pytest.raises(ListenError, match=first.address):
        HttpServer(address=first.address)
    await first.close()


async def test_address_of_a_closed_listener_is_free_again():
    address = find_free_addresses(1)[0]
    for _ in range(2):
        server = HttpServer(address=address)
        await server.close()


def test_free_addresses_differ():
    addresses = find_free_addresses(200)
    assert len(set(addresses)) == len(addresses)

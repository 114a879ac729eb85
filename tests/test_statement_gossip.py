"""Statements of peers that are malformed, and then sent on.

Guards against a datagram that ends the daemon: what was decoded without an
error could not be encoded again, which ended the task that spreads statements.
"""

import orjson
import pytest

from laurelwind.protocol.cold import decode_cold, encode_cold
from laurelwind.protocol.permits import (
    decode_limits,
    decode_message,
    encode_limits,
    encode_message,
)

NOW = 100.0
TOO_LARGE = (1e30, 2.0**64, -1e300)


@pytest.mark.parametrize('number', TOO_LARGE)
@pytest.mark.parametrize('position', ['started', 'sequence', 'since'])
def test_cold_statements_of_peers_can_be_sent_on(number, position):
    fields = {'started': 1, 'sequence': -1, 'since': -1, position: number}
    process = [fields['started'], fields['sequence']]
    row = [process, 5.0, [fields['since'], None, None], True]
    document = orjson.loads(orjson.dumps({'cold': [['e1', row]]}))
    decoded = list(decode_cold(document, NOW))
    list(encode_cold(decoded, NOW))
    assert not decoded


@pytest.mark.parametrize('number', (1e30, 2.0**64, 1e300))
@pytest.mark.parametrize('position', ['started', 'sent', 'stated', 'limited'])
def test_limits_of_peers_can_be_sent_on(number, position):
    fields = {'started': 1, 'sent': 1, 'stated': 1, 'limited': 1}
    fields[position] = number
    started_ms, *ages = fields.values()
    document = {'limits': [['e1', started_ms, [2.0, *ages]]]}
    decoded = list(decode_limits(document, NOW))
    list(encode_limits(decoded, NOW))
    assert not decoded


@pytest.mark.parametrize('number', TOO_LARGE)
def test_answers_to_malformed_asks_can_be_sent(number):
    statement = [2.0, 1, 1, 1]
    sender, process = [number, 'd1:1'], ['e1', 1, 'a']
    ask = decode_message({'permit_ask': [sender, process, 0, statement]}, NOW)
    returned = decode_message({'permit_return': [1, 'd1:1', 'e1', number]}, NOW)
    for message in (ask, returned):
        assert message is None or encode_message(message, NOW)
    assert ask is None
    assert returned is None

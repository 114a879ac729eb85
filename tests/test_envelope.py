"""Envelopes: authenticity, replay protection and mixed releases."""

import time

import msgpack
import pytest

from laurelwind.errors import PeerError
from laurelwind.protocol import envelope
from laurelwind.protocol.envelope import EnvelopeSigner, SigningKey
from laurelwind.protocol.messages import (
    ConfigurationAsk,
    Done,
    Refusal,
)
from laurelwind.state.conversion import LENIENT
from laurelwind.state.records import UnknownRecord, load_record

OLD = SigningKey(key_id='old', secret=b'an old secret of the fleet')
NEW = SigningKey(key_id='new', secret=b'a new secret of the fleet')


def test_a_request_and_its_answer_are_opened():
    requester = EnvelopeSigner(sender='a0', keys=[OLD])
    responder = EnvelopeSigner(sender='b1', keys=[OLD])
    raw, nonce = requester.sign(ConfigurationAsk(newer_than=3))
    received = responder.verify_request(raw)
    assert received.sender == 'a0'
    assert received.message == ConfigurationAsk(newer_than=3)
    answer, _ = responder.sign(Done(), nonce=received.nonce)
    assert requester.verify_answer(answer, nonce).message == Done()


def test_keys_can_be_rotated_without_downtime():
    before = EnvelopeSigner(sender='a0', keys=[NEW, OLD])
    after = EnvelopeSigner(sender='b1', keys=[OLD, NEW])
    for sender, receiver in ((before, after), (after, before)):
        raw, _ = sender.sign(Done())
        assert receiver.verify_request(raw).message == Done()


def test_a_replayed_request_is_refused():
    signer = EnvelopeSigner(sender='a0', keys=[OLD])
    raw, _ = signer.sign(Done())
    signer.verify_request(raw)
    with pytest.raises(PeerError, match='twice'):
        signer.verify_request(raw)


def test_a_request_older_than_the_time_window_is_refused(monkeypatch):
    signer = EnvelopeSigner(sender='a0', keys=[OLD])
    monkeypatch.setattr('laurelwind.protocol.envelope.time.time', lambda: 1.0)
    raw, _ = signer.sign(Done())
    monkeypatch.undo()
    with pytest.raises(PeerError, match='old'):
        signer.verify_request(raw)


def test_a_message_signed_with_an_unknown_key_is_refused():
    raw, _ = EnvelopeSigner(sender='a0', keys=[NEW]).sign(Done())
    with pytest.raises(PeerError):
        EnvelopeSigner(sender='b1', keys=[OLD]).verify_request(raw)


def test_a_tampered_message_is_refused():
    signer = EnvelopeSigner(sender='a0', keys=[OLD])
    raw, _ = signer.sign(Done())
    body, signature = msgpack.unpackb(raw)
    forged = msgpack.packb([body.replace(b'a0', b'b1'), signature])
    with pytest.raises(PeerError, match='authentic'):
        signer.verify_request(forged)


def test_an_answer_to_another_request_is_refused():
    signer = EnvelopeSigner(sender='a0', keys=[OLD])
    _, nonce = signer.sign(Done())
    answer, _ = signer.sign(Done(), nonce=b'another nonce')
    with pytest.raises(PeerError, match='another'):
        signer.verify_answer(answer, nonce)


def test_an_answer_is_not_accepted_as_a_request_by_another_daemon():
    requester = EnvelopeSigner(sender='a0', keys=[OLD])
    responder = EnvelopeSigner(sender='b1', keys=[OLD])
    raw, _ = requester.sign(Done())
    nonce = responder.verify_request(raw).nonce
    answer, _ = responder.sign(Done(), nonce=nonce)
    with pytest.raises(PeerError, match='answer'):
        EnvelopeSigner(sender='c2', keys=[OLD]).verify_request(answer)


def sign_fields(fields):
    body = msgpack.packb(fields)
    return msgpack.packb([body, envelope._sign(OLD.secret, body)])


def test_only_known_formats_are_accepted():
    fields = ['old', 'a0', time.time(), b'n', '', 'Done', {}, False]
    signer = EnvelopeSigner(sender='b1', keys=[OLD])
    # A daemon of the release before sends format 1, without the last field.
    assert signer.verify_request(sign_fields([1, *fields[:-1]]))
    with pytest.raises(PeerError, match='format 3'):
        signer.verify_request(sign_fields([3, *fields]))


def test_nonces_are_kept_for_the_whole_time_window_at_a_high_rate():
    requester = EnvelopeSigner(sender='a0', keys=[OLD])
    responder = EnvelopeSigner(sender='b1', keys=[OLD])
    first, _ = requester.sign(Done())
    responder.verify_request(first)
    for number in range(200_001):
        responder._recent_nonces[number.to_bytes(12)] = time.time()
    responder.verify_request(requester.sign(Done())[0])
    with pytest.raises(PeerError, match='twice'):
        responder.verify_request(first)


@pytest.mark.parametrize('raw', [b'', b'\x00', b'\xc1garbage', b'\x92\x01\x02'])
def test_malformed_bytes_are_refused(raw):
    with pytest.raises(PeerError):
        EnvelopeSigner(sender='a0', keys=[OLD]).verify_request(raw)


def test_unknown_fields_messages_and_records_are_tolerated():
    payload = {'newer_than': 3, 'colour': 'red'}
    message = LENIENT.structure(payload, ConfigurationAsk)
    assert message == ConfigurationAsk(newer_than=3)
    assert isinstance(load_record(b'{"type":"later","x":1}'), UnknownRecord)
    assert isinstance(load_record(b'not json'), UnknownRecord)

    class Later(Done):
        """A message of a newer release."""

    signer = EnvelopeSigner(sender='a0', keys=[OLD])
    raw, _ = signer.sign(Later())
    assert isinstance(signer.verify_request(raw).message, Refusal)

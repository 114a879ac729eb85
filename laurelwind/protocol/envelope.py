"""Signs, encodes and verifies the messages between daemons.

A signed envelope is a msgpack pair of body and signature.  The body is a
msgpack array: format version, key id, sender, seconds since the epoch, nonce,
trace context, message type, message, whether it is an answer.  The signature is
HMAC-SHA256 of the body.  An answer carries the nonce of its request, so it is
not accepted for any other request.  Format 1 lacks the last field; it is
accepted while daemons of earlier releases may run.
"""

import hashlib
import hmac
import secrets
import time
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

import msgpack
from attrs import frozen

from laurelwind.errors import ErrorKind, PeerError
from laurelwind.protocol.messages import MESSAGE_TYPES, Message, Refusal
from laurelwind.state.conversion import LENIENT

_FORMAT_VERSION: Final = 2
# Number of fields of each format that is accepted.
_FIELD_COUNTS: Final[Mapping[int, int]] = MappingProxyType({1: 8, 2: 9})
_NONCE_BYTES: Final = 12
_REPLAY_WINDOW_S: Final = 60.0


@frozen(kw_only=True)
class SigningKey:
    """A key that daemons share to sign messages.

    :ivar key_id: identifies the key within an envelope.
    :ivar secret: the HMAC key.
    """

    key_id: str
    secret: bytes


@frozen(kw_only=True)
class Envelope:
    """A verified message and its origin.

    :ivar sender: name of the sending daemon.
    :ivar sent_at: seconds since the epoch.
    :ivar nonce: matches an answer to its request.
    :ivar traceparent: W3C trace context, or an empty string.
    :ivar message: the message.
    :ivar is_answer: whether it answers a request; unknown, and then false, in
        format 1.
    """

    sender: str
    sent_at: float
    nonce: bytes
    traceparent: str
    message: Message
    is_answer: bool = False


class EnvelopeSigner:
    """Signs outgoing envelopes, and verifies and decodes incoming ones.

    :param sender: name of the local daemon.
    :param keys: signing keys, oldest first; the last one signs, all are
        accepted, so that keys can be rotated without downtime.
    """

    def __init__(self, *, sender: str, keys: Sequence[SigningKey]) -> None:
        self._sender = sender
        self._signing_key = keys[-1]
        self._secrets: Mapping[str, bytes] = {
            key.key_id: key.secret for key in keys
        }
        self._recent_nonces: OrderedDict[bytes, float] = OrderedDict()

    def sign(
        self, message: Message, *, nonce: bytes = b'', traceparent: str = ''
    ) -> tuple[bytes, bytes]:
        """Encode and sign a message.

        :param message: the message.
        :param nonce: nonce of the request, if the message is an answer.
        :param traceparent: W3C trace context.
        :returns: the signed bytes and the nonce.
        """
        message_nonce = nonce or secrets.token_bytes(_NONCE_BYTES)
        fields = [
            _FORMAT_VERSION,
            self._signing_key.key_id,
            self._sender,
            time.time(),
            message_nonce,
            traceparent,
            type(message).__name__,
            LENIENT.unstructure(message),
            bool(nonce),
        ]
        body = msgpack.packb(fields)
        signature = _sign(self._signing_key.secret, body)
        return msgpack.packb([body, signature]), message_nonce

    def verify_request(self, raw: bytes) -> Envelope:
        """Verify and decode a request.

        :param raw: signed bytes.
        :raises PeerError: if it is malformed, not authentic, outside the time
            window or a replay.
        """
        envelope = self._verify(raw)
        if envelope.is_answer:
            raise _build_error('message is an answer, not a request')
        now = time.time()
        if abs(now - envelope.sent_at) > _REPLAY_WINDOW_S:
            raise _build_error(
                'message timestamp is too old or too far in the future'
            )
        if envelope.nonce in self._recent_nonces:
            raise _build_error(
                'message was received twice: its nonce was already used'
            )
        self._recent_nonces[envelope.nonce] = envelope.sent_at
        self._evict_nonces(now)
        return envelope

    def verify_answer(self, raw: bytes, nonce: bytes) -> Envelope:
        """Verify and decode the answer to a request.

        :param raw: signed bytes.
        :param nonce: nonce of the request.
        :raises PeerError: if it is malformed, not authentic or answers
            another request.
        """
        envelope = self._verify(raw)
        if envelope.nonce != nonce:
            raise _build_error('answer belongs to another request')
        return envelope

    def _verify(self, raw: bytes) -> Envelope:
        try:
            body, signature = msgpack.unpackb(raw)
            fields = msgpack.unpackb(body)
            secret = self._secrets[fields[1]]
        except (ValueError, TypeError, LookupError) as error:
            raise _build_error(
                'message is malformed or signed with an unknown key'
            ) from error
        if not hmac.compare_digest(_sign(secret, body), signature):
            raise _build_error(
                'message is not authentic: its signature does not match'
            )
        if fields[0] not in _FIELD_COUNTS:
            raise _build_error(f'message has the unknown format {fields[0]}')
        if len(fields) < _FIELD_COUNTS[fields[0]]:
            raise _build_error('message is malformed: fields are missing')
        return _build_envelope(fields)

    def _evict_nonces(self, now: float) -> None:
        while self._recent_nonces:
            nonce, sent_at = next(iter(self._recent_nonces.items()))
            if now - sent_at <= 2 * _REPLAY_WINDOW_S:
                return
            self._recent_nonces.pop(nonce)


def _build_envelope(fields: Sequence[Any]) -> Envelope:
    sender, sent_at, nonce, traceparent = fields[2:6]
    name, payload = fields[6:8]
    message_type = MESSAGE_TYPES.get(name)
    message: Message = Refusal(reason=f'unknown message type {name}')
    if message_type is not None:
        try:
            message = LENIENT.structure(payload, message_type)
        except Exception as error:
            raise _build_error(f'message {name} is malformed') from error
    return Envelope(
        sender=sender,
        sent_at=sent_at,
        nonce=nonce,
        traceparent=traceparent,
        message=message,
        is_answer=len(fields) > _FIELD_COUNTS[1] and bool(fields[8]),
    )


def _sign(secret: bytes, body: bytes) -> bytes:
    return hmac.new(secret, body, hashlib.sha256).digest()


def _build_error(reason: str) -> PeerError:
    return PeerError(ErrorKind.PEER_UNAVAILABLE, reason)

"""Codec of the headers exchanged with callers and endpoints."""

import pytest

from laurelwind.platform.headers import PLATFORM_HEADERS
from laurelwind.protocol.exchanges import Dispatch, PromptPart
from laurelwind.protocol.headers import NamedHeaderCodec

CODEC = NamedHeaderCodec(names=PLATFORM_HEADERS)
CALLER_HEADERS = (
    (b'host', b'forms.example:80'),
    (b'x-request-id', b'abc'),
    (b'x-deadline-ms', b'2500'),
    (b'authorization', b'Bearer secret'),
    (b'x-model', b'*'),
    (b'x-token-usage', b'1460,80'),
    (b'x-prefix-hash', b'5c:800,91:410'),
    (b'session', b's1'),
    (b'accept', b'text/event-stream'),
)
FORGED_HEADERS = (
    (b'x-tenant-id', b'other'),
    (b'x-expect-instance', b'i-1'),
    (b'x-expect-version', b'3'),
    (b'x-request-priority', b'0'),
    (b'x-pin-ms', b'4000'),
    (b'x-cache-hold', b'h'),
    (b'x-kv-backup', b'10.0.0.1:1'),
    (b'kv-from', b'10.0.0.1:1/h'),
    (b'kv-fetch', b'10.0.0.1:1'),
)
FRAMING_HEADERS = (
    (b'connection', b'keep-alive, X-Only-Here'),
    (b'x-only-here', b'1'),
    (b'keep-alive', b'timeout=5'),
    (b'te', b'trailers'),
    (b'transfer-encoding', b'chunked'),
    (b'content-length', b'4'),
    (b'expect', b'100-continue'),
)
DISPATCH = Dispatch(
    address='10.0.0.2:80', endpoint='i-9', workspace='forms', deadline_s=1.25
)


def decode_caller_request(headers=CALLER_HEADERS):
    return CODEC.decode_request('POST', b'/a/b?c=d', headers, b'body')


def encode_endpoint_headers(dispatch=DISPATCH, headers=CALLER_HEADERS):
    pairs = CODEC.encode_request_headers(
        decode_caller_request(headers), dispatch
    )
    names = [name for name, _ in pairs]
    assert len(names) == len(set(names))
    return dict(pairs)


def test_a_request_is_decoded():
    request = decode_caller_request()
    assert request.request_id == 'abc'
    assert request.key == 'secret'
    assert request.deadline_s == 2.5
    assert request.path == '/a/b'
    assert (request.prompt_tokens, request.output_tokens) == (1460, 80)
    assert request.parts[1] == PromptPart(name='91', tokens=410)
    assert request.session == 's1'


def test_the_key_is_removed_and_forged_headers_are_replaced():
    written = encode_endpoint_headers(
        headers=(*CALLER_HEADERS, *FORGED_HEADERS)
    )
    assert b'authorization' not in written
    assert written[b'x-tenant-id'] == b'forms'
    assert written[b'x-expect-instance'] == b'i-9'
    assert written[b'x-deadline-ms'] == b'1250'
    remaining = {name for name, _ in FORGED_HEADERS} & set(written)
    assert remaining == {b'x-tenant-id', b'x-expect-instance'}


def test_connection_headers_are_not_forwarded():
    written = encode_endpoint_headers(
        headers=(*CALLER_HEADERS, *FRAMING_HEADERS)
    )
    assert not {name for name, _ in FRAMING_HEADERS} & set(written)


def test_other_headers_of_a_request_are_forwarded():
    written = encode_endpoint_headers()
    for name, text in CALLER_HEADERS:
        if name not in {b'authorization', b'x-deadline-ms'}:
            assert written[name] == text


def test_the_headers_carry_the_model_priority_and_last_event_id():
    dispatch = Dispatch(
        address='a:1',
        endpoint='i',
        workspace='',
        deadline_s=1,
        model='m0',
        priority=2,
        last_event_id='7',
    )
    written = encode_endpoint_headers(dispatch)
    assert written[b'x-model'] == b'm0'
    assert written[b'x-request-priority'] == b'2'
    assert written[b'last-event-id'] == b'7'
    assert b'x-tenant-id' not in written


def test_an_answer_is_decoded_without_its_framing_headers():
    head = CODEC.decode_answer_head(
        200,
        (
            (b'X-Request-Id', b'abc'),
            (b'X-Response-Seal', b'3e1b'),
            (b'X-Instance-Load', b'3,1,8'),
            (b'X-Confidence', b'42'),
            (b'Content-Type', b'text/event-stream'),
            (b'Transfer-Encoding', b'chunked'),
            (b'Connection', b'close'),
        ),
    )
    assert head.load.waiting == 1
    assert head.confidence == 42
    assert head.is_stream
    names = {name.lower() for name, _ in head.headers}
    assert b'x-response-seal' in names
    assert not names & {b'transfer-encoding', b'connection', b'x-request-id'}


def test_invalid_numbers_are_ignored():
    head = CODEC.decode_answer_head(
        503,
        (
            (b'x-instance-load', b'3,x,8'),
            (b'x-confidence', b'nan'),
            (b'x-not-executed', b'1'),
        ),
    )
    assert head.load is None
    assert head.confidence is None
    assert head.did_not_run
    invalid = (
        *CALLER_HEADERS[:2],
        (b'x-deadline-ms', b'-5'),
        (b'x-token-usage', b'many'),
    )
    assert decode_caller_request(invalid).deadline_s is None
    assert decode_caller_request(invalid).prompt_tokens == 0


@pytest.mark.parametrize('digits', [400, 5000])
def test_numbers_without_bound_count_as_malformed(digits):
    """A caller's or an endpoint's long number was an internal error."""
    number = b'9' * digits
    request = CODEC.decode_request(
        'POST',
        b'/',
        (
            (b'x-token-usage', number + b',' + number),
            (b'x-prefix-hash', b'5c:' + number),
            (b'x-deadline-ms', number),
        ),
        b'',
    )
    assert (request.prompt_tokens, request.output_tokens) == (0, 0)
    assert request.parts == (PromptPart(name='5c', tokens=0),)
    assert request.deadline_s is None
    head = CODEC.decode_answer_head(
        200,
        (
            (b'x-instance-load', b'1,2,' + number),
            (b'content-length', number),
        ),
    )
    assert head.load is None
    assert head.length is None


@pytest.mark.parametrize(
    ('text', 'slowdown'),
    [
        (b'3,1,8,250', 2.5),
        (b'3,1,8, 55.5 ', 0.555),
        (b'3,1,8', None),
        (b'3,1,8,', None),
        (b'3,1,8,0', None),
        (b'3,1,8,-20', None),
        (b'3,1,8,10001', None),
        (b'3,1,8,1e999', None),
        (b'3,1,8,nan', None),
        (b'3,1,8,\xb2', None),
        (b'3,1,8,x', None),
        (b'3,1,8,120,7', 1.2),
    ],
)
def test_a_pace_that_cannot_be_used_leaves_the_load_in_force(text, slowdown):
    """A report of four figures was dropped, so that the load was unknown."""
    head = CODEC.decode_answer_head(200, [(b'x-instance-load', text)])
    assert (head.load.running, head.load.waiting, head.load.slots) == (3, 1, 8)
    assert head.load.slowdown == slowdown

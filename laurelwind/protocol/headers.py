"""The codec of headers, for any set of header names."""

import math
from collections.abc import Mapping
from typing import Final

from attrs import frozen

from laurelwind.protocol.exchanges import (
    AnswerHead,
    Dispatch,
    EndpointReport,
    HeaderCodec,
    HeaderPairs,
    PromptPart,
    RelayRequest,
)

_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_BODY_HEADERS: Final = frozenset((b'content-length', b'expect'))
_BEARER: Final = 'bearer '
_EVENT_STREAM: Final = b'text/event-stream'
_NO_BODY: Final = frozenset((204, 304))
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class HeaderNames:
    """Names of the headers, in lower case.

    :ivar request_id: names a caller's attempt, and echoes it.
    :ivar deadline_ms: milliseconds that the sender waits.
    :ivar model: model wanted.
    :ivar tokens: prompt tokens and largest output, comma-separated.
    :ivar parts: parts of the prompt as ``NAME:TOKENS``, comma-separated.
    :ivar session: names the requests that belong together.
    :ivar last_event_id: the last event of a stream that is known.
    :ivar endpoint: the endpoint that the request is meant for.
    :ivar workspace: the caller's workspace.
    :ivar priority: rank at the endpoint.
    :ivar load: running, waiting and slots, comma-separated.
    :ivar did_not_run: present where a request did not run.
    :ivar confidence: the model's opinion of its answer.
    :ivar reserved: further names that callers may not set.
    """

    request_id: bytes = b'x-request-id'
    deadline_ms: bytes = b'x-deadline-ms'
    model: bytes = b'x-model'
    tokens: bytes = b'x-tokens'
    parts: bytes = b'x-prompt-parts'
    session: bytes = b'x-session'
    last_event_id: bytes = b'last-event-id'
    endpoint: bytes = b'x-endpoint'
    workspace: bytes = b'x-workspace'
    priority: bytes = b'x-priority'
    load: bytes = b'x-endpoint-load'
    did_not_run: bytes = b'x-not-run'
    confidence: bytes = b'x-confidence'
    reserved: frozenset[bytes] = frozenset()


class NamedHeaderCodec(HeaderCodec):
    """Reads and writes headers under the names that it is given.

    :param names: the names.
    """

    def __init__(self, *, names: HeaderNames) -> None:
        self._names = names
        self._not_passed_on = (
            _HOP_BY_HOP
            | _BODY_HEADERS
            | names.reserved
            | {
                b'authorization',
                names.deadline_ms,
                names.endpoint,
                names.workspace,
                names.priority,
            }
        )

        self._not_passed_back = _HOP_BY_HOP | {
            b'content-length',
            names.request_id,
        }

    def read_request(
        self, method: str, target: bytes, headers: HeaderPairs, body: bytes
    ) -> RelayRequest:
        """Read a caller's request; see :class:`HeaderCodec`."""
        names = self._names
        found = {name.lower(): text for name, text in headers}
        prompt_tokens, output_tokens = _read_tokens(found.get(names.tokens))
        return RelayRequest(
            request_id=_read_text(found, names.request_id),
            method=method,
            target=target,
            host=_read_text(found, b'host'),
            key=_read_key(found),
            headers=_drop(headers, self._not_passed_on, found),
            body=body,
            deadline_s=_read_seconds(found.get(names.deadline_ms)),
            model=_read_text(found, names.model),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            parts=_read_parts(found.get(names.parts, b'')),
            session=_read_text(found, names.session),
            last_event_id=_read_text(found, names.last_event_id),
        )

    def write_request(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> HeaderPairs:
        """Write the headers for an endpoint; see :class:`HeaderCodec`."""
        names = self._names
        replaced = set()
        added = [
            (names.deadline_ms, _write_ms(dispatch.deadline_s)),
            (names.endpoint, dispatch.endpoint.encode()),
        ]
        if dispatch.workspace:
            added.append((names.workspace, dispatch.workspace.encode()))
        if dispatch.priority is not None:
            added.append((names.priority, str(dispatch.priority).encode()))
        if dispatch.model:
            replaced.add(names.model)
            added.append((names.model, dispatch.model.encode()))
        if dispatch.last_event_id:
            replaced.add(names.last_event_id)
            added.append((names.last_event_id, dispatch.last_event_id.encode()))
        kept = [
            (name, text)
            for name, text in request.headers
            if name.lower() not in replaced
        ]
        return (*kept, *added)

    def read_answer(self, status: int, headers: HeaderPairs) -> AnswerHead:
        """Read the head of an answer; see :class:`HeaderCodec`."""
        names = self._names
        found = {name.lower(): text for name, text in headers}
        return AnswerHead(
            status=status,
            headers=_drop(headers, self._not_passed_back, found),
            request_id=_read_text(found, names.request_id),
            did_not_run=names.did_not_run in found,
            is_stream=found.get(b'content-type', b'').startswith(_EVENT_STREAM),
            length=_read_length(found.get(b'content-length')),
            load=_read_load(found.get(names.load)),
            confidence=_read_number(found.get(names.confidence)),
            has_body=status not in _NO_BODY,
        )


def _drop(
    headers: HeaderPairs,
    dropped: frozenset[bytes],
    found: Mapping[bytes, bytes],
) -> HeaderPairs:
    named = {
        word.strip().lower()
        for word in found.get(b'connection', b'').split(b',')
    }
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in dropped and name.lower() not in named
    )


def _read_text(found: Mapping[bytes, bytes], name: bytes) -> str:
    return found.get(name, b'').decode('latin-1').strip()


def _read_key(found: Mapping[bytes, bytes]) -> str:
    text = _read_text(found, b'authorization')
    if not text.lower().startswith(_BEARER):
        return ''
    return text[len(_BEARER) :].strip()


def _read_number(text: bytes | None) -> float | None:
    try:
        number = float(text or b'')
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _read_seconds(text: bytes | None) -> float | None:
    number = _read_number(text)
    if number is None or number < 0:
        return None
    return number / _MS_PER_S


def _write_ms(seconds: float) -> bytes:
    return str(max(int(seconds * _MS_PER_S), 1)).encode()


def _read_length(text: bytes | None) -> int | None:
    if text is None or not text.isdigit():
        return None
    return int(text)


def _read_count(text: str) -> int:
    stripped = text.strip()
    return int(stripped) if stripped.isdecimal() else 0


def _read_tokens(text: bytes | None) -> tuple[int, int]:
    first, _, second = (text or b'').decode('latin-1').partition(',')
    return _read_count(first), _read_count(second)


def _read_parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for word in text.decode('latin-1').split(','):
        name, colon, tokens = word.strip().partition(':')
        if colon:
            parts.append(PromptPart(name=name, tokens=_read_count(tokens)))
    return tuple(parts)


def _read_load(text: bytes | None) -> EndpointReport | None:
    counts = (text or b'').decode('latin-1').split(',')
    if len(counts) != 3 or not all(
        count.strip().isdecimal() for count in counts
    ):
        return None
    running, waiting, slots = (int(count) for count in counts)
    return EndpointReport(running=running, waiting=waiting, slots=slots)

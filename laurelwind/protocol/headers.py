"""Codec of the HTTP headers, with configurable header names."""

from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Final

from attrs import frozen

from laurelwind.protocol.exchanges import (
    AnswerHead,
    Dispatch,
    HeaderCodec,
    HeaderPairs,
    PromptPart,
    RelayRequest,
)
from laurelwind.protocol.header_numbers import (
    is_count,
    parse_load,
    parse_number,
)

_HOP_BY_HOP_HEADERS: Final = frozenset(
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
_FRAMING_HEADERS: Final = frozenset((b'content-length', b'expect'))
_BEARER_PREFIX: Final = 'bearer '
# One of these marks the end of a body, other than the end of the connection.
_BODY_END_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS_STATUSES: Final = frozenset((204, 304))
_MS_PER_S: Final = 1000
_IS_LEAVING: Final = '1'


@frozen(kw_only=True)
class HeaderNames:
    """Names of the HTTP headers, in lower case.

    :ivar request_id: identifier of a caller's attempt, repeated in the answer.
    :ivar deadline_ms: milliseconds that the sender waits.
    :ivar model: requested model.
    :ivar tokens: tokens of the prompt and the largest output, comma-separated.
    :ivar length_hint: the caller's estimate of the output tokens.
    :ivar parts: parts of the prompt as ``NAME:TOKENS``, comma-separated.
    :ivar session: identifier that related requests share.
    :ivar last_event_id: the last event of a stream that the caller received.
    :ivar endpoint: the endpoint for which the request is intended.
    :ivar workspace: the caller's workspace.
    :ivar priority: priority at the endpoint.
    :ivar load: running requests, waiting requests, slots and optionally the
        time that work takes, in percent of the usual time; comma-separated.
    :ivar did_not_run: present if the request did not run.
    :ivar confidence: confidence of the model in its answer.
    :ivar leaving: present in answers of an endpoint that is about to stop.
    :ivar rate_limit: requests per second that an endpoint accepts from all
        daemons together.
    :ivar reserved: further headers that callers may not set.
    """

    request_id: bytes = b'x-request-id'
    deadline_ms: bytes = b'x-deadline-ms'
    model: bytes = b'x-model'
    tokens: bytes = b'x-tokens'
    length_hint: bytes = b'x-length-hint'
    parts: bytes = b'x-prompt-parts'
    session: bytes = b'x-session'
    last_event_id: bytes = b'last-event-id'
    endpoint: bytes = b'x-endpoint'
    workspace: bytes = b'x-workspace'
    priority: bytes = b'x-priority'
    load: bytes = b'x-endpoint-load'
    did_not_run: bytes = b'x-not-run'
    confidence: bytes = b'x-confidence'
    leaving: bytes = b'x-leaving'
    rate_limit: bytes = b'x-rate-limit'
    reserved: frozenset[bytes] = frozenset()


class NamedHeaderCodec(HeaderCodec):
    """Decodes and encodes headers under configurable names.

    :param names: names of the headers.
    """

    def __init__(self, *, names: HeaderNames) -> None:
        self._names = names
        self._request_exclusions = (
            _HOP_BY_HOP_HEADERS
            | _FRAMING_HEADERS
            | names.reserved
            | {
                b'authorization',
                names.deadline_ms,
                names.endpoint,
                names.workspace,
                names.priority,
            }
        )

        self._answer_exclusions = _HOP_BY_HOP_HEADERS | {
            b'content-length',
            names.request_id,
        }

    def decode_request(
        self, method: str, target: bytes, headers: HeaderPairs, body: bytes
    ) -> RelayRequest:
        """Decode a caller's request; see :class:`HeaderCodec`."""
        names = self._names
        headers_by_name = {name.lower(): text for name, text in headers}
        prompt_tokens, output_tokens = _parse_tokens(
            headers_by_name.get(names.tokens)
        )
        return RelayRequest(
            request_id=_get_text(headers_by_name, names.request_id),
            method=method,
            target=target,
            host=_get_text(headers_by_name, b'host'),
            key=_get_bearer_key(headers_by_name),
            headers=_exclude_headers(
                headers, self._request_exclusions, headers_by_name
            ),
            body=body,
            deadline_s=_parse_ms(headers_by_name.get(names.deadline_ms)),
            model=_get_text(headers_by_name, names.model),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            length_hint=_parse_count(
                _get_text(headers_by_name, names.length_hint)
            ),
            parts=_parse_prompt_parts(headers_by_name.get(names.parts, b'')),
            session=_get_text(headers_by_name, names.session),
            last_event_id=_get_text(headers_by_name, names.last_event_id),
        )

    def encode_request_headers(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> HeaderPairs:
        """Encode the headers for an endpoint; see :class:`HeaderCodec`."""
        names = self._names
        replaced = set()
        added = [
            (names.deadline_ms, _format_ms(dispatch.deadline_s)),
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
        forwarded = [
            (name, text)
            for name, text in request.headers
            if name.lower() not in replaced
        ]
        return (*forwarded, *added)

    def decode_answer_head(
        self, status: int, headers: HeaderPairs
    ) -> AnswerHead:
        """Decode the head of an answer; see :class:`HeaderCodec`."""
        names = self._names
        headers_by_name = {name.lower(): text for name, text in headers}
        return AnswerHead(
            status=status,
            headers=_exclude_headers(
                headers, self._answer_exclusions, headers_by_name
            ),
            # A head that was cut off within another one may hold both ids.
            request_id=', '.join(
                dict.fromkeys(_list_texts(headers, names.request_id))
            ),
            did_not_run=names.did_not_run in headers_by_name,
            media_type=_get_media_type(headers_by_name),
            length=_parse_length(headers_by_name.get(b'content-length')),
            load=parse_load(headers_by_name.get(names.load)),
            confidence=parse_number(headers_by_name.get(names.confidence)),
            has_body=status not in _BODILESS_STATUSES,
            is_framed=not _BODY_END_HEADERS.isdisjoint(headers_by_name),
            is_leaving=_get_text(headers_by_name, names.leaving) == _IS_LEAVING,
            rate_limits=_list_texts(headers, names.rate_limit),
            retry_after=(
                _get_text(headers_by_name, b'retry-after')
                if status == HTTPStatus.SERVICE_UNAVAILABLE
                else ''
            ),
        )


def _exclude_headers(
    headers: HeaderPairs,
    excluded: frozenset[bytes],
    headers_by_name: Mapping[bytes, bytes],
) -> HeaderPairs:
    connection_headers = {
        name.strip().lower()
        for name in headers_by_name.get(b'connection', b'').split(b',')
    }
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in excluded
        and name.lower() not in connection_headers
    )


def _get_text(headers_by_name: Mapping[bytes, bytes], name: bytes) -> str:
    return headers_by_name.get(name, b'').decode('latin-1').strip()


def _get_media_type(headers_by_name: Mapping[bytes, bytes]) -> str:
    content_type = _get_text(headers_by_name, b'content-type')
    return content_type.partition(';')[0].strip().lower()


def _list_texts(headers: HeaderPairs, name: bytes) -> Sequence[str]:
    return tuple(
        text.decode('latin-1').strip()
        for header_name, text in headers
        if header_name.lower() == name
    )


def _get_bearer_key(headers_by_name: Mapping[bytes, bytes]) -> str:
    text = _get_text(headers_by_name, b'authorization')
    if not text.lower().startswith(_BEARER_PREFIX):
        return ''
    return text[len(_BEARER_PREFIX) :].strip()


def _parse_ms(text: bytes | None) -> float | None:
    number = parse_number(text)
    if number is None or number < 0:
        return None
    return number / _MS_PER_S


def _format_ms(seconds: float) -> bytes:
    return str(max(int(seconds * _MS_PER_S), 1)).encode()


def _parse_length(text: bytes | None) -> int | None:
    digits = (text or b'').decode('latin-1')
    return int(digits) if is_count(digits) else None


def _parse_count(text: str) -> int:
    stripped = text.strip()
    return int(stripped) if is_count(stripped) else 0


def _parse_tokens(text: bytes | None) -> tuple[int, int]:
    prompt, _, output = (text or b'').decode('latin-1').partition(',')
    return _parse_count(prompt), _parse_count(output)


def _parse_prompt_parts(text: bytes) -> tuple[PromptPart, ...]:
    prompt_parts = []
    for entry in text.decode('latin-1').split(','):
        name, colon, tokens = entry.strip().partition(':')
        if colon:
            prompt_parts.append(
                PromptPart(name=name, tokens=_parse_count(tokens))
            )
    return tuple(prompt_parts)

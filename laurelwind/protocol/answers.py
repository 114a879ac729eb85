"""Extracts text from streamed chat events and assembles chat completions."""

from collections.abc import Iterable, Iterator
from typing import Any, Final

import orjson

_EVENT_END: Final = b'\n\n'
_DATA_PREFIX: Final = b'data: '
_DONE_PAYLOAD: Final = b'[DONE]'


def iterate_chunks(events: bytes) -> Iterator[dict[str, Any]]:
    """Iterate over the decoded events, except the closing ``[DONE]``.

    :param events: server-sent events, each terminated by an empty line.
    """
    for event in events.split(_EVENT_END):
        _, _, payload = event.partition(_DATA_PREFIX)
        if payload and payload != _DONE_PAYLOAD:
            yield orjson.loads(payload)


def read_text(events: bytes) -> str:
    """Return the concatenated text content of some events.

    :param events: server-sent events.
    """
    texts = (
        choice.get('delta', {}).get('content') or ''
        for chunk in iterate_chunks(events)
        for choice in chunk.get('choices', ())
    )
    return ''.join(texts)


def build_completion(events: bytes) -> dict[str, Any]:
    """Assemble a chat completion from the events of a streamed answer.

    :param events: all events of one answer.
    """
    choices: dict[int, dict[str, Any]] = {}
    completion: dict[str, Any] = {'object': 'chat.completion'}
    for chunk in iterate_chunks(events):
        for name in ('id', 'model', 'created', 'usage'):
            if chunk.get(name) is not None:
                completion[name] = chunk[name]
        _merge_choices(choices, chunk.get('choices', ()))
    completion['choices'] = [choices[index] for index in sorted(choices)]
    return completion


def _merge_choices(
    choices: dict[int, dict[str, Any]],
    chunk_choices: Iterable[dict[str, Any]],
) -> None:
    for chunk_choice in chunk_choices:
        index = int(chunk_choice.get('index', 0))
        choice = choices.setdefault(index, _build_empty_choice(index))
        if chunk_choice.get('finish_reason') is not None:
            choice['finish_reason'] = chunk_choice['finish_reason']
        _merge_message(choice['message'], chunk_choice.get('delta') or {})


def _build_empty_choice(index: int) -> dict[str, Any]:
    return {
        'index': index,
        'message': {'role': 'assistant', 'content': ''},
        'finish_reason': None,
    }


def _merge_message(message: dict[str, Any], delta: dict[str, Any]) -> None:
    message['content'] += delta.get('content') or ''
    if delta.get('tool_calls'):
        calls = message.setdefault('tool_calls', [])
        for fragment in delta['tool_calls']:
            _merge_tool_call(calls, fragment)


def _merge_tool_call(
    calls: list[dict[str, Any]],
    fragment: dict[str, Any],
) -> None:
    index = int(fragment.get('index', 0))
    while len(calls) <= index:
        calls.append(
            {
                'type': 'function',
                'function': {'name': '', 'arguments': ''},
            }
        )
    call = calls[index]
    if fragment.get('id'):
        call['id'] = fragment['id']
    function = fragment.get('function') or {}
    for name in ('name', 'arguments'):
        call['function'][name] += function.get(name) or ''

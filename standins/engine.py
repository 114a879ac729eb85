"""Stand-in for a model engine: timed, resumable streams of any version."""

import hashlib
from collections.abc import AsyncIterator, Mapping
from typing import Any, Final

import anyio
import attrs
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from standins.switches import HANG_S, Switches, build_switch_route

_DEFAULT_PART_COUNT: Final = 12
_HASH_BYTES: Final = 4
_HASH_RANGE: Final = 1 << (8 * _HASH_BYTES)
_UNLIMITED: Final = 1_000_000_000
_CREATED_AT_S: Final = 1_700_000_000
_CHARACTERS_PER_TOKEN: Final = 4


@attrs.define(kw_only=True)
class EngineSwitches(Switches):
    """Faults and speed of an engine.

    :ivar first_part_s: time to the first part, in seconds.
    :ivar part_s: time between two parts, in seconds.
    :ivar slots: number of concurrent requests that run at full speed.
    :ivar cut_after: part after which the connection is closed, or -1.
    :ivar silent_after: part after which the stream stalls, or -1.
    :ivar cross_after: part followed by a part of another request, or -1.
    :ivar wrong_version: version sent in ``X-Model-Version``, or an empty
        string for the requested one.
    :ivar faulty_answers: number of answers still to be affected by
        ``cut_after``, ``silent_after`` or ``cross_after``.
    :ivar crash_prompt: text whose prompts break the connection, or an empty
        string.
    :ivar crash_part: number of the part before which they do.
    :ivar pass_rates: share of good answers by version, from 0 to 1.
    """

    first_part_s: float = 0.01
    part_s: float = 0.002
    slots: int = 64
    cut_after: int = -1
    silent_after: int = -1
    cross_after: int = -1
    wrong_version: str = ''
    faulty_answers: int = _UNLIMITED
    crash_prompt: str = ''
    crash_part: int = 0
    pass_rates: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class _Answer:
    """An answer that is being streamed.

    :ivar reference: the model version that answers.
    :ivar part_texts: texts of all parts, including those already received.
    :ivar first_number: number of the first part to send.
    :ivar is_faulty: whether the faults by number of a part apply.
    :ivar is_deadly: whether the connection breaks at ``crash_part``.
    """

    request_id: str
    reference: str
    part_texts: list[str]
    first_number: int
    prompt_tokens: int
    is_faulty: bool
    is_deadly: bool

    def list_remaining_parts(self) -> list[tuple[int, str]]:
        """List the numbers and texts of the parts to send."""
        return list(enumerate(self.part_texts))[self.first_number :]


class EngineStandin:
    """An engine that runs every model version.

    :ivar started: number of started answers by version.
    :ivar cancelled: number of answers that ended early.
    """

    def __init__(self) -> None:
        self.switches = EngineSwitches()
        self.in_flight = 0
        self.started: dict[str, int] = {}
        self.cancelled = 0
        self.application = Starlette(
            routes=[
                Route(
                    '/v1/chat/completions',
                    self._handle_completion,
                    methods=['POST'],
                ),
                Route('/status', self._handle_status),
                build_switch_route(self.switches),
            ],
        )

    async def _handle_status(self, request: Request) -> Response:
        return JSONResponse(
            {
                'in_flight': self.in_flight,
                'started': self.started,
                'cancelled': self.cancelled,
            }
        )

    async def _handle_completion(self, request: Request) -> Response:
        body = orjson.loads(await request.body())
        refusal = await self.switches.apply_faults()
        if refusal is not None:
            return refusal
        answer = self._prepare_answer(request.headers, body)
        self.started[answer.reference] = (
            self.started.get(answer.reference, 0) + 1
        )
        reported_version = self.switches.wrong_version or answer.reference
        return StreamingResponse(
            self._generate(answer),
            media_type='text/event-stream',
            headers={
                'X-Request-Id': answer.request_id,
                'X-Model-Version': reported_version,
                'X-Load': str(self.in_flight),
            },
        )

    def _prepare_answer(
        self,
        headers: Mapping[str, str],
        body: dict[str, Any],
    ) -> _Answer:
        prompt = _read_prompt(body)
        reference = body['model']
        rate = self.switches.pass_rates.get(reference, 1.0)
        verdict = 'pass' if is_good_answer(prompt, reference, rate) else 'fail'
        part_count = int(body.get('max_tokens') or _DEFAULT_PART_COUNT)
        part_texts = [
            f'[{verdict}]',
            *(f' w{index}' for index in range(1, part_count)),
        ]
        last_id = headers.get('last-event-id', '')
        is_faulty = (
            self.switches.faulty_answers > 0 and self._is_fault_enabled()
        )
        if is_faulty:
            self.switches.faulty_answers -= 1
        return _Answer(
            request_id=headers['x-request-id'],
            reference=reference,
            part_texts=part_texts,
            first_number=int(last_id.rpartition('/')[2]) + 1 if last_id else 0,
            prompt_tokens=len(prompt) // _CHARACTERS_PER_TOKEN + 1,
            is_faulty=is_faulty,
            is_deadly=bool(self.switches.crash_prompt)
            and self.switches.crash_prompt in prompt,
        )

    def _is_fault_enabled(self) -> bool:
        switches = self.switches
        return (
            max(
                switches.cut_after,
                switches.silent_after,
                switches.cross_after,
            )
            >= 0
        )

    async def _generate(self, answer: _Answer) -> AsyncIterator[bytes]:
        self.in_flight += 1
        try:
            await anyio.sleep(
                self.switches.first_part_s * self._slowdown_factor
            )
            for number, _ in answer.list_remaining_parts():
                self._crash_if_deadly(answer, number)
                yield _build_part_event(answer, number)
                await self._inject_fault(answer, number)
                if self._precedes_foreign_part(answer, number):
                    yield _build_part_event(
                        attrs.evolve(answer, request_id='another'),
                        number + 1,
                    )
                await anyio.sleep(self.switches.part_s * self._slowdown_factor)
            yield _build_final_events(answer)
        except BaseException:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    def _crash_if_deadly(self, answer: _Answer, number: int) -> None:
        if answer.is_deadly and number >= self.switches.crash_part:
            raise ConnectionAbortedError(
                'connection cut by the crash_prompt switch'
            )

    @property
    def _slowdown_factor(self) -> float:
        return max(1.0, self.in_flight / self.switches.slots)

    def _precedes_foreign_part(self, answer: _Answer, number: int) -> bool:
        return answer.is_faulty and number == self.switches.cross_after

    async def _inject_fault(self, answer: _Answer, number: int) -> None:
        if not answer.is_faulty:
            return
        if 0 <= self.switches.cut_after <= number:
            raise ConnectionAbortedError(
                'connection cut by the cut_after switch'
            )
        if 0 <= self.switches.silent_after <= number:
            await anyio.sleep(HANG_S)


def is_good_answer(prompt: str, reference: str, rate: float) -> bool:
    """Return whether a version answers a prompt well.

    The result depends only on the parameters, so that it is reproducible.

    :param prompt: text of the request.
    :param reference: the model version.
    :param rate: share of prompts that the version answers well, from 0 to 1.
    """
    digest = hashlib.sha256(f'{prompt}|{reference}'.encode()).digest()
    return int.from_bytes(digest[:_HASH_BYTES], 'big') < rate * _HASH_RANGE


def _read_prompt(body: dict[str, Any]) -> str:
    return '\n'.join(
        str(message.get('content', '')) for message in body['messages']
    )


def _build_chunk(answer: _Answer, **fields: object) -> bytes:
    return orjson.dumps(
        {
            'id': f'chatcmpl-{answer.request_id}',
            'object': 'chat.completion.chunk',
            'created': _CREATED_AT_S,
            'model': answer.reference,
            **fields,
        }
    )


def _build_part_event(answer: _Answer, number: int) -> bytes:
    delta = {
        'content': answer.part_texts[min(number, len(answer.part_texts) - 1)]
    }
    if number == 0:
        delta['role'] = 'assistant'
    chunk = _build_chunk(
        answer,
        choices=[{'index': 0, 'delta': delta, 'finish_reason': None}],
    )
    return b'id: %s/%d\ndata: %s\n\n' % (
        answer.request_id.encode(),
        number,
        chunk,
    )


def _build_final_events(answer: _Answer) -> bytes:
    part_count = len(answer.part_texts)
    usage = {
        'prompt_tokens': answer.prompt_tokens,
        'completion_tokens': part_count,
        'total_tokens': answer.prompt_tokens + part_count,
        'parts': part_count + 2,
    }
    chunk = _build_chunk(
        answer,
        choices=[{'index': 0, 'delta': {}, 'finish_reason': 'stop'}],
        usage=usage,
    )
    request_id = answer.request_id.encode()
    return b'id: %s/%d\ndata: %s\n\nid: %s/%d\ndata: [DONE]\n\n' % (
        request_id,
        part_count,
        chunk,
        request_id,
        part_count + 1,
    )

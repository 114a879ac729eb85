"""A stand-in for a model engine: paced, resumable streams of many versions."""

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

from standins.switches import NEVER_S, Switches, build_switch_route

_DEFAULT_PARTS: Final = 12
_HASH_BYTES: Final = 4
_HASH_RANGE: Final = 1 << (8 * _HASH_BYTES)
_ALWAYS: Final = 1_000_000_000
_CREATED: Final = 1_700_000_000
_CHARACTERS_PER_TOKEN: Final = 4


@attrs.define(kw_only=True)
class EngineSwitches(Switches):
    """Faults and speed of an engine.

    :ivar first_part_s: time to the first part.
    :ivar part_s: time between two parts.
    :ivar slots: requests that run at full speed.
    :ivar cut_after: close the connection from this part on, or -1.
    :ivar silent_after: fall silent from this part on, or -1.
    :ivar cross_after: send another request's part behind this one, or -1.
    :ivar wrong_version: answer as this version, or an empty string.
    :ivar faulty_answers: how many answers the three switches above hit.
    :ivar pass_rates: share of good answers by version.
    """

    first_part_s: float = 0.01
    part_s: float = 0.002
    slots: int = 64
    cut_after: int = -1
    silent_after: int = -1
    cross_after: int = -1
    wrong_version: str = ''
    faulty_answers: int = _ALWAYS
    pass_rates: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class _Answer:
    """One answer on its way."""

    request_id: str
    reference: str
    pieces: list[str]
    first: int
    prompt_tokens: int
    is_faulty: bool

    def list_rest(self) -> list[tuple[int, str]]:
        """List the pieces still to be sent with their numbers."""
        return list(enumerate(self.pieces))[self.first :]


class EngineStandin:
    """An engine that can run every version."""

    def __init__(self) -> None:
        self.switches = EngineSwitches()
        self.in_flight = 0
        self.started: dict[str, int] = {}
        self.cancelled = 0
        self.application = Starlette(
            routes=[
                Route('/v1/chat/completions', self._complete, methods=['POST']),
                Route('/status', self._status),
                build_switch_route(self.switches),
            ],
        )

    async def _status(self, request: Request) -> Response:
        return JSONResponse(
            {
                'in_flight': self.in_flight,
                'started': self.started,
                'cancelled': self.cancelled,
            }
        )

    async def _complete(self, request: Request) -> Response:
        body = orjson.loads(await request.body())
        refusal = await self.switches.apply_faults()
        if refusal is not None:
            return refusal
        answer = self._prepare(request.headers, body)
        self.started[answer.reference] = (
            self.started.get(answer.reference, 0) + 1
        )
        named = self.switches.wrong_version or answer.reference
        return StreamingResponse(
            self._generate(answer),
            media_type='text/event-stream',
            headers={
                'X-Request-Id': answer.request_id,
                'X-Model-Version': named,
                'X-Load': str(self.in_flight),
            },
        )

    def _prepare(
        self,
        headers: Mapping[str, str],
        body: dict[str, Any],
    ) -> _Answer:
        prompt = _read_prompt(body)
        reference = body['model']
        rate = self.switches.pass_rates.get(reference, 1.0)
        verdict = 'pass' if is_good_answer(prompt, reference, rate) else 'fail'
        count = int(body.get('max_tokens') or _DEFAULT_PARTS)
        pieces = [f'[{verdict}]', *(f' w{index}' for index in range(1, count))]
        last = headers.get('last-event-id', '')
        is_faulty = self.switches.faulty_answers > 0 and self._has_fault()
        if is_faulty:
            self.switches.faulty_answers -= 1
        return _Answer(
            request_id=headers['x-request-id'],
            reference=reference,
            pieces=pieces,
            first=int(last.rpartition('/')[2]) + 1 if last else 0,
            prompt_tokens=len(prompt) // _CHARACTERS_PER_TOKEN + 1,
            is_faulty=is_faulty,
        )

    def _has_fault(self) -> bool:
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
            await anyio.sleep(self.switches.first_part_s * self._slowdown)
            for number, _ in answer.list_rest():
                yield _build_part(answer, number)
                await self._misbehave(answer, number)
                if self._is_crossed(answer, number):
                    yield _build_part(
                        attrs.evolve(answer, request_id='another'),
                        number + 1,
                    )
                await anyio.sleep(self.switches.part_s * self._slowdown)
            yield _build_end(answer)
        except BaseException:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    @property
    def _slowdown(self) -> float:
        return max(1.0, self.in_flight / self.switches.slots)

    def _is_crossed(self, answer: _Answer, number: int) -> bool:
        return answer.is_faulty and number == self.switches.cross_after

    async def _misbehave(self, answer: _Answer, number: int) -> None:
        if not answer.is_faulty:
            return
        if 0 <= self.switches.cut_after <= number:
            raise ConnectionAbortedError('cut by a switch')
        if 0 <= self.switches.silent_after <= number:
            await anyio.sleep(NEVER_S)


def is_good_answer(prompt: str, reference: str, rate: float) -> bool:
    """Tell whether a version answers a prompt well, the same every time.

    :param prompt: the request's text.
    :param reference: the version.
    :param rate: its share of good answers.
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
            'created': _CREATED,
            'model': answer.reference,
            **fields,
        }
    )


def _build_part(answer: _Answer, number: int) -> bytes:
    delta = {'content': answer.pieces[min(number, len(answer.pieces) - 1)]}
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


def _build_end(answer: _Answer) -> bytes:
    count = len(answer.pieces)
    usage = {
        'prompt_tokens': answer.prompt_tokens,
        'completion_tokens': count,
        'total_tokens': answer.prompt_tokens + count,
        'parts': count + 2,
    }
    chunk = _build_chunk(
        answer,
        choices=[{'index': 0, 'delta': {}, 'finish_reason': 'stop'}],
        usage=usage,
    )
    name = answer.request_id.encode()
    return b'id: %s/%d\ndata: %s\n\nid: %s/%d\ndata: [DONE]\n\n' % (
        name,
        count,
        chunk,
        name,
        count + 1,
    )

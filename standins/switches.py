"""Fault switches of the stand-ins, set in process or over HTTP."""

from http import HTTPStatus
from typing import Any, Final

import anyio
import attrs
import cattrs
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

FAULTS_PATH: Final = '/faults'
HANG_S: Final = 3600.0


@attrs.define(kw_only=True)
class Switches:
    """Faults that every stand-in can inject.

    :ivar down: answer every request with status 503.
    :ivar delay_s: delay before every answer, in seconds.
    :ivar lose_answers: number of requests still to run without an answer.
    :ivar silent: accept requests and never answer.
    """

    down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    silent: bool = False

    async def apply_faults(self) -> Response | None:
        """Apply faults before a request runs.

        :returns: the answer of a service that is down, or ``None`` to go on.
        """
        if self.silent:
            await anyio.sleep(HANG_S)
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        if self.down:
            return JSONResponse(
                {'error': 'down'}, status_code=HTTPStatus.SERVICE_UNAVAILABLE
            )
        return None

    async def lose_answer(self) -> None:
        """Hang after the request has run if its answer is to be lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await anyio.sleep(HANG_S)


def build_switch_route(switches: Any) -> Route:
    """Build the route that changes switches over HTTP.

    :param switches: instance of an attrs class; JSON keys are its fields.
    """

    async def update_switches(request: Request) -> Response:
        for name, setting in (await request.json()).items():
            setattr(switches, name, setting)
        return JSONResponse(cattrs.unstructure(switches))

    return Route(FAULTS_PATH, update_switches, methods=['POST'])

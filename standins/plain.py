"""Stand-in for a plain HTTP service that counts runs by idempotency key."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.switches import Switches, build_switch_route


class PlainStandin:
    """A service of bookings and deposits.

    :ivar runs: number of runs by idempotency key.
    :ivar traceparents: header of each received request, empty if absent.
    """

    def __init__(self) -> None:
        self.switches = Switches()
        self.runs: dict[str, int] = {}
        self.traceparents: list[str] = []
        self.application = Starlette(
            routes=[
                build_switch_route(self.switches),
                Route('/runs', self._handle_runs),
                Route(
                    '/{path:path}',
                    self._handle_call,
                    methods=[
                        'GET',
                        'POST',
                        'PUT',
                        'DELETE',
                    ],
                ),
            ],
        )

    async def _handle_runs(self, request: Request) -> Response:
        return JSONResponse(self.runs)

    async def _handle_call(self, request: Request) -> Response:
        await request.body()
        self.traceparents.append(request.headers.get('traceparent', ''))
        refusal = await self.switches.apply_faults()
        if refusal is not None:
            return refusal
        key = request.headers.get('idempotency-key', '')
        if key:
            self.runs[key] = self.runs.get(key, 0) + 1
        await self.switches.lose_answer()
        answer = {
            'path': request.url.path,
            'method': request.method,
            'key': key,
        }
        return JSONResponse(
            answer,
            headers={'X-Request-Id': request.headers['x-request-id']},
        )

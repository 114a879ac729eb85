"""Stand-in for the platform's eventually consistent list of instances."""

from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.switches import Switches, build_switch_route


class InstanceListStandin:
    """Serves an instance list that changes only on explicit updates."""

    def __init__(self) -> None:
        self.switches = Switches()
        self.instances: dict[str, dict[str, Any]] = {}
        self.application = Starlette(
            routes=[
                Route('/instances', self._handle_list, methods=['GET']),
                Route('/instances', self._handle_update, methods=['POST']),
                build_switch_route(self.switches),
            ],
        )

    async def _handle_list(self, request: Request) -> Response:
        refusal = await self.switches.apply_faults()
        if refusal is not None:
            return refusal
        return JSONResponse({'instances': list(self.instances.values())})

    async def _handle_update(self, request: Request) -> Response:
        for instance in (await request.json())['instances']:
            self.instances[instance['name']] = instance
        return JSONResponse({'count': len(self.instances)})

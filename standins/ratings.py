"""Stand-in for the rating service."""

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.switches import Switches, build_switch_route


@attrs.define(kw_only=True)
class RatingSwitches(Switches):
    """Faults of the rating service.

    :ivar wrong_workspace: workspace whose answers all fail their rating.
    """

    wrong_workspace: str = ''


class RatingStandin:
    """Passes answers that start with ``[pass]``, set by the engine stand-in."""

    def __init__(self) -> None:
        self.switches = RatingSwitches()
        self.rated_count = 0
        self.application = Starlette(
            routes=[
                Route('/ratings', self._handle_rating, methods=['POST']),
                build_switch_route(self.switches),
            ],
        )

    async def _handle_rating(self, request: Request) -> Response:
        body = await request.json()
        refusal = await self.switches.apply_faults()
        if refusal is not None:
            return refusal
        self.rated_count += 1
        is_wrong_workspace = body['workspace'] == self.switches.wrong_workspace
        passed = body['answer'].startswith('[pass]') and not is_wrong_workspace
        return JSONResponse({'passed': passed})

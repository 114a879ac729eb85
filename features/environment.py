"""Runs a fleet on a separate event-loop thread for each scenario."""

from anyio.from_thread import start_blocking_portal

from standins.fleet import run_fleet


def before_scenario(context, scenario):
    context.portal_manager = start_blocking_portal()
    context.portal = context.portal_manager.__enter__()
    context.fleet_manager = None
    context.answers = []


def after_scenario(context, scenario):
    if context.fleet_manager is not None:
        context.fleet_manager.__exit__(None, None, None)
    context.portal_manager.__exit__(None, None, None)


def start_fleet(context, zones):
    manager = context.portal.wrap_async_context_manager(run_fleet(zones=zones))
    context.fleet = manager.__enter__()
    context.fleet_manager = manager

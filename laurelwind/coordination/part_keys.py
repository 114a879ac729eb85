"""Names of prompt parts and endpoints in what daemons tell of crashes."""

from collections.abc import Sequence

from laurelwind.protocol.crash_notices import MAX_PARTS, limit_name
from laurelwind.protocol.exchanges import PromptPart
from laurelwind.state.crash_reports import PartKeys
from laurelwind.state.directory import EndpointRecord


def build_part_keys(service: str, parts: Sequence[PromptPart]) -> PartKeys:
    """Return the keys of a prompt's shared parts.

    The last part is specific to the request or its session.  Of long prompts
    the last parts count, which fewer prompts share.

    :param service: name of the service.
    :param parts: parts of the prompt, in order.
    """
    shared = parts[-MAX_PARTS - 1 : -1]
    return frozenset(
        (limit_name(service), limit_name(part.name)) for part in shared
    )


def build_endpoint_key(endpoint: EndpointRecord) -> str:
    """Return the name under which daemons tell each other of an endpoint.

    An endpoint that was restarted has another one.

    :param endpoint: the endpoint.
    """
    return limit_name(f'{endpoint.started_ms}/{endpoint.name}')

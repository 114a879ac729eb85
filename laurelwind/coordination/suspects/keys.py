"""Names of requests, prompt parts and endpoints in notices of crashes."""

from collections.abc import Sequence

from laurelwind.protocol.crash_notices import MAX_PARTS, limit_name
from laurelwind.protocol.exchanges import PromptPart
from laurelwind.state.crash_reports import REQUEST_PREFIX, SuspectKeys
from laurelwind.state.digests import hash_fields
from laurelwind.state.directory import EndpointRecord


def build_part_keys(service: str, parts: Sequence[PromptPart]) -> SuspectKeys:
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


def build_request_name(
    *, workspace: str, method: str, target: bytes, body: bytes
) -> str:
    """Return the name that a request has in common with its repeats.

    It covers what an endpoint receives: the workspace stands for the caller,
    whatever its key, and the identifier of the request is left out.

    :param workspace: workspace of the caller, or an empty string.
    :param method: HTTP method.
    :param target: path and query.
    :param body: the body.
    """
    digest = hash_fields(workspace.encode(), method.encode(), target, body)
    return f'{REQUEST_PREFIX}{digest}'


def build_endpoint_key(endpoint: EndpointRecord) -> str:
    """Return the name under which daemons tell each other of an endpoint.

    An endpoint that was restarted has another one.

    :param endpoint: the endpoint.
    """
    return build_process_key(endpoint.name, endpoint.started_ms)


def build_process_key(name: str, started_ms: int) -> str:
    """Return the name under which daemons tell each other of a process.

    :param name: name of the endpoint.
    :param started_ms: start time of the process, in Unix milliseconds.
    """
    return limit_name(f'{started_ms}/{name}')

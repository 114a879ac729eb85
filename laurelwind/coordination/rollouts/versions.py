"""Selects the endpoints whose version a request may use."""

from collections.abc import Collection, Sequence

from laurelwind.state.directory import EndpointRecord


def split_versions(
    endpoints: Sequence[EndpointRecord], target: str
) -> tuple[Sequence[EndpointRecord], Sequence[EndpointRecord]]:
    """Return the endpoints of other versions, and those of a target version.

    :param endpoints: the endpoints.
    :param target: the target version.
    """
    return (
        [endpoint for endpoint in endpoints if endpoint.version != target],
        [endpoint for endpoint in endpoints if endpoint.version == target],
    )


def exclude_versions(
    endpoints: Sequence[EndpointRecord],
    rejected_versions: Collection[str],
) -> Sequence[EndpointRecord]:
    """Return the endpoints of versions that were not rejected.

    :param endpoints: the endpoints.
    :param rejected_versions: names of the rejected versions.
    """
    if not rejected_versions:
        return endpoints
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.version not in rejected_versions
    ]

"""A daemon process before endpoints that are replaced all the time."""

import pytest

from tests.releases import BURST, SERVICES, Size, play_releases

pytestmark = pytest.mark.anyio

# Descriptors of a daemon beside its connections: store, listeners, log, peers.
OTHER_DESCRIPTORS = 40


async def test_connections_to_endpoints_that_left_are_closed():
    """Each endpoint that left cost a daemon 32 descriptors for good."""
    size = Size(releases_s=10, checked_s=2, callers=12)
    result = await play_releases(size)
    assert result.releases > 10, result
    # Only the endpoints that are there have connections.
    most = len(SERVICES) * BURST + OTHER_DESCRIPTORS
    assert result.descriptors[-1] <= most, result
    assert result.answers[200], result

"""Runs async tests on asyncio, and Hypothesis tests without randomness."""

import pytest
from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


@pytest.fixture
def anyio_backend():
    return 'asyncio'

"""Requests at a daemon that has just started."""

import anyio
import pytest

from laurelwind.coordination import startup
from laurelwind.coordination.startup import StartupWait

pytestmark = pytest.mark.anyio


class Readiness:
    """Becomes ready with a given question; never if that is zero."""

    def __init__(self, ready_from=0):
        self.ready_from = ready_from
        self.questions = 0

    def ask(self):
        self.questions += 1
        return 0 < self.ready_from <= self.questions


async def test_a_request_waits_for_a_daemon_that_starts():
    """It was refused a tenth of a second before the daemon was ready."""
    readiness = Readiness(ready_from=3)
    wait = StartupWait(limit_s=60, is_ready=readiness.ask)
    with anyio.fail_after(10):
        await wait.wait()
    assert readiness.questions >= 3
    asked = readiness.questions
    await wait.wait()
    assert readiness.questions == asked


async def test_one_wait_is_no_longer_than_a_refusal_takes(monkeypatch):
    """Without a store each request would have waited as long as allowed."""
    monkeypatch.setattr(startup, 'MAX_WAIT_S', 0.02)
    readiness = Readiness()
    wait = StartupWait(limit_s=60, is_ready=readiness.ask)
    with anyio.fail_after(10):
        await wait.wait()
        await wait.wait()


async def test_nothing_waits_once_the_start_has_taken_too_long():
    """A daemon without a store has to refuse at once."""
    readiness = Readiness()
    wait = StartupWait(limit_s=0.02, is_ready=readiness.ask)
    with anyio.fail_after(10):
        await wait.wait()
    asked = readiness.questions
    await wait.wait()
    assert readiness.questions == asked


async def test_nothing_waits_without_the_setting():
    """A daemon whose settings do not ask for it must refuse as before."""
    readiness = Readiness()
    await StartupWait(limit_s=0, is_ready=readiness.ask).wait()
    assert not readiness.questions

"""Crashing requests beside a roll-out, which say nothing about a version."""

import functools

import pytest

from laurelwind.coordination.rollouts.broken_answers import (
    MAX_ANSWERS,
    WITHHOLD_S,
)
from laurelwind.coordination.rollouts.evidence import AnswerOutcome
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.suspects.explanations import CrashExplanations
from laurelwind.coordination.suspects.keys import build_endpoint_key
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.errors import EndpointError
from laurelwind.state.crash_reports import CrashReport
from laurelwind.state.directory import EndpointDirectory
from laurelwind.state.rollouts import RolloutOrder
from tests.relay_helpers import (
    EndpointScript,
    RelayHarness,
    build_broken_error,
    build_endpoint_record,
    build_request,
    build_silent_log,
)

ON_BOARD = 8


class Fleet:
    """Endpoints that crash beside a roll-out, as one daemon sees them."""

    def __init__(self, clock):
        self.clock = clock
        self.screen = SuspectScreen(
            log=build_silent_log(), clock=clock, count_members=lambda: 1
        )
        directory = EndpointDirectory()
        for number in range(4):
            for version in ('v1', 'v2'):
                name = f'{version}-{number}'
                record = build_endpoint_record(name, version=version)
                directory.apply(name, record, offset=1)
        self.directory = directory
        self.explanations = CrashExplanations(
            screen=self.screen, directory=directory
        )
        self.book = RolloutRegistry(
            local_daemon='d1',
            exposure_share=0.15,
            log=build_silent_log(),
            clock=clock,
        )
        self.book.apply_order(
            RolloutOrder(service='pool', target='v2', duration_s=20)
        )
        self.rollout = self.book._rollouts['pool']

    def crash(self, name, request):
        """Break ON_BOARD answers of an endpoint, one of them of a request."""
        endpoint = self.directory.find(name)
        now = self.clock.now
        for number in range(ON_BOARD):
            key = request if not number else f'request:{name}-{number}'
            self.screen.record_crash(
                CrashReport(
                    attempt=f'{name}/{key}',
                    endpoint=build_endpoint_key(endpoint),
                    prompt=key,
                    keys=frozenset((('pool', key),)),
                    sent_at=now - 0.5,
                    broke_at=now,
                )
            )
            explain = functools.partial(
                self.explanations.is_explained, endpoint, now
            )
            self.book.record_outcome(
                endpoint,
                AnswerOutcome(route='draft', failed=True, is_explained=explain),
            )
        self.wait(1)

    def wait(self, seconds):
        self.clock.now += seconds
        self.screen.review()
        self.book.review_broken_answers()


@pytest.fixture
def fleet(clock):
    return Fleet(clock)


def test_a_crashing_request_rejects_no_version_on_trial(fleet):
    """A good version was rejected for answers that a request broke."""
    for _ in range(100):
        fleet.book.record_outcome(
            fleet.directory.find('v1-3'), AnswerOutcome(route='draft')
        )
    fleet.crash('v1-0', 'request:deadly')
    fleet.crash('v2-0', 'request:deadly')
    assert not fleet.rollout.is_rejected


def test_a_crashing_request_is_no_evidence_against_the_old_version(fleet):
    """Soak seed 381019: 73 such failures of the old one excused the new one."""
    for number in range(3):
        fleet.crash(f'v1-{number}', 'request:deadly')
    assert fleet.screen.blocks
    assert not fleet.rollout.describe_evidence()['old']['failures']


def test_a_version_that_crashes_by_itself_is_rejected(fleet):
    """A request that is sent again to it must not excuse its crashes."""
    for number in range(3):
        fleet.crash(f'v2-{number}', 'request:repeated')
    assert fleet.rollout.is_rejected


def test_broken_answers_count_while_no_suspect_explains_them(fleet):
    """Withheld answers must not be lost: a crash is evidence by default."""
    fleet.crash('v1-0', 'request:a')
    old = fleet.rollout.describe_evidence()['old']
    assert old['failures'] == ON_BOARD
    fleet.wait(WITHHOLD_S)
    assert fleet.rollout.describe_evidence()['old'] == old


def test_answers_beyond_the_bound_count_at_once(fleet):
    """The table is bounded, and what leaves it early is still evidence."""
    endpoint = fleet.directory.find('v1-0')
    for _ in range(MAX_ANSWERS + 5):
        fleet.book.record_outcome(
            endpoint,
            AnswerOutcome(
                route='draft', failed=True, is_explained=lambda is_trial: False
            ),
        )
    assert fleet.rollout.describe_evidence()['old']['failures'] == 5


def test_corrected_counts_are_reported(fleet):
    """Other daemons kept failures that were withdrawn where they were seen."""
    for number in range(2):
        fleet.crash(f'v1-{number}', 'request:deadly')
    fleet.wait(3)
    ((_, report),) = fleet.book.collect_due_reports(0)
    assert report.old_tally.failures
    fleet.crash('v1-2', 'request:deadly')
    ((_, report),) = fleet.book.collect_due_reports(1)
    assert not report.old_tally.failures


@pytest.mark.anyio
async def test_an_attempt_whose_connection_broke_is_withheld():
    """Guards the wiring from the relay to the evidence."""
    script = EndpointScript(head=build_broken_error())
    harness = RelayHarness(*[script] * 3)
    harness.rollouts.apply_order(
        RolloutOrder(service='pool', target='v1', duration_s=60)
    )
    with pytest.raises(EndpointError):
        await harness.serve(build_request('look'))
    counts = harness.rollouts._rollouts['pool'].describe_evidence()['counts']
    assert not counts['failures']
    withheld = harness.rollouts._broken_answers._answers
    assert len(withheld) == len(harness.gateway.sent) > 0

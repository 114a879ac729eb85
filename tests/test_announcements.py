"""Checks of the fault soak on what endpoints announce."""

import random

import pytest

from soak import bounds
from soak.announcements import check_announcements
from soak.callers import CallerRequest
from soak.fleet import Fleet
from standins.notices import PauseAnswer
from standins.run_log import Run
from tests.soak_helpers import build_daemon


@pytest.fixture
def fleet(tmp_path):
    return Fleet(rng=random.Random(1), folder=tmp_path)


@pytest.fixture
def daemon(tmp_path):
    return build_daemon(tmp_path)


def _build_request(daemon, number, sent_at, incarnation='d0/1'):
    return CallerRequest(
        request_id=f'c0-{number}',
        route='draft',
        key=bounds.PERMANENT_KEY,
        answer_bytes=1,
        daemon=daemon,
        incarnation=incarnation,
        link=daemon.caller_link,
        sent_at=sent_at,
        ended_at=sent_at + 1,
        outcome='answered',
        status=200,
    )


def _record_run(fleet, request, *, is_leaving=False):
    fleet.run_log.record(
        Run(
            request_id=request.request_id,
            endpoint='e1',
            service='pool-0',
            version='v1',
            workspace=bounds.WORKSPACE,
            arrived_at=request.sent_at,
            action='serve',
            is_leaving=is_leaving,
        )
    )


@pytest.mark.parametrize(
    ('incarnation', 'sent_at', 'counts'),
    [('d0/1', 104, 1), ('d0/1', 102, 0), ('d0/2', 104, 0)],
)
def test_a_request_after_an_answer_that_told_of_leaving_counts(
    fleet, daemon, incarnation, sent_at, counts
):
    told = _build_request(daemon, 1, 100)
    later = _build_request(daemon, 2, sent_at, incarnation)
    _record_run(fleet, told, is_leaving=True)
    _record_run(fleet, later)
    lines = list(check_announcements(fleet, [told, later]))
    assert len(lines) == counts


@pytest.mark.parametrize(
    ('late', 'faulty', 'counts'),
    [(3, '', 1), (2, '', 0), (3, 'daemon d0', 0), (3, 'store', 1)],
)
def test_requests_during_a_pause_count(fleet, daemon, late, faulty, counts):
    fleet.fault_windows.spans[faulty] = [[99, 105]]
    moments = [100, 100.3, *(101 + number / 10 for number in range(late))]
    requests = [
        _build_request(daemon, number, moment)
        for number, moment in enumerate(moments)
    ]
    fleet.run_log.pauses.extend(
        PauseAnswer(
            request_id=request.request_id,
            endpoint='e1',
            asked_at=request.sent_at,
            ends_at=103,
        )
        for request in requests
    )
    assert len(list(check_announcements(fleet, requests))) == counts

"""The model checks pass, and disabling a rule yields a counterexample."""

import pytest

from laurelwind.coordination.limits.endpoint_permits import PERMIT_TTL_S
from laurelwind.coordination.limits.permit_holder import TAKEOVER_S
from laurelwind.state.permit_schedule import BURST_S
from specification import restores
from specification.claims import Bounds, Rules, check
from specification.permits import TICK_S, Timing, check_permits


def find_counterexamples(rules):
    properties = check(rules)['properties']
    return {
        name: checked['counterexample']
        for name, checked in properties.items()
        if checked['holds'] is False
    }


def test_properties_hold_within_the_bounds():
    result = check(Rules(), Bounds(takeovers=3, crashes=1, losses=1))
    assert result['exhaustive']
    assert result['reachable_states'] == 58038
    assert all(checked['holds'] for checked in result['properties'].values())


def test_two_requests_run_if_claims_are_not_read_back():
    counterexamples = find_counterexamples(Rules(read_back_claims=False))
    assert 'runs_at_most_once' in counterexamples


def test_a_request_runs_without_the_claim_if_old_epochs_are_not_void():
    counterexamples = find_counterexamples(Rules(void_old_epochs=False))
    assert 'who_runs_holds_the_claim' in counterexamples


def test_the_limit_holds_while_the_holder_changes_twice():
    result = check_permits(Timing(), changes=2)
    assert result['exhaustive']
    assert result['properties']['the_limit_holds']['holds']


@pytest.mark.parametrize(
    'timing', [Timing(takeover=0), Timing(burst=12), Timing(lag=16)]
)
def test_the_limit_breaks_without_a_rule_of_the_permits(timing):
    properties = check_permits(timing)['properties']
    assert properties['the_limit_holds']['holds'] is False


def test_the_specified_times_are_those_of_the_code():
    timing = Timing()
    assert timing.takeover * TICK_S == TAKEOVER_S
    assert timing.burst * TICK_S == BURST_S
    window_s = 4 + PERMIT_TTL_S
    assert timing.window * TICK_S == window_s


def test_tables_survive_a_store_that_is_restored_twice():
    result = restores.check_restores(restores.Rules())
    assert result['exhaustive']
    assert all(checked['holds'] for checked in result['properties'].values())


@pytest.mark.parametrize(
    ('rules', 'broken'),
    [
        (restores.Rules(keep_newest=False), 'no_table_goes_back'),
        (
            restores.Rules(compare_eras=False),
            'who_has_read_all_has_the_newest',
        ),
    ],
)
def test_a_restore_breaks_readers_without_a_rule(rules, broken):
    properties = restores.check_restores(rules)['properties']
    assert not properties[broken]['holds']

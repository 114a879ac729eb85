"""The model check passes, and disabling either rule yields a counterexample."""

from specification.claims import Bounds, Rules, check


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

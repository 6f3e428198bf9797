"""Tests of checks of promises against the counts of targets."""

import pytest

from chicorybridge.load.callers import Call, CallOutcome
from chicorybridge.load.experiments import RequestKind
from chicorybridge.load.promise_checks import check_promises

KIND = RequestKind(name='accept', method='POST', keyed=True)


def _check(outcomes, runs, *, uploads=('d',)):
    call = Call(key='k', kind=KIND, body_sha256='d', outcomes=outcomes)
    counts_by_target = {
        f'target-{number}': {
            'runs_by_key': {'k': 1},
            'uploads': dict.fromkeys(uploads, 1),
        }
        for number in range(runs)
    }
    counts_by_target['idle'] = {'runs_by_key': {}, 'uploads': {}}
    return check_promises([call], counts_by_target)


@pytest.mark.parametrize(
    ('outcomes', 'runs', 'broken'),
    [
        ((CallOutcome.complete,), 1, None),
        ((CallOutcome.complete,), 2, 'doubled_runs'),
        ((CallOutcome.complete,), 0, 'missing_runs'),
        ((CallOutcome.not_run, CallOutcome.not_sent), 0, None),
        ((CallOutcome.not_run, CallOutcome.not_sent), 1, 'false_not_run'),
        ((CallOutcome.unknown, CallOutcome.not_run), 1, None),
        ((CallOutcome.mismatched,), 1, 'mismatched'),
    ],
)
def test_broken_promise_is_counted(outcomes, runs, broken):
    """Each violation is counted; other calls break no promise."""
    check = _check(outcomes, runs)
    assert check.checked
    assert check.kept is (broken is None)
    if broken:
        assert getattr(check, broken) == 1


def test_lost_upload_is_counted():
    """A complete upload that no target stored counts as lost."""
    assert _check((CallOutcome.complete,), 1, uploads=()).lost_uploads == 1

"""Tests that nothing else lifts the refusal of a request that crashes targets.

Each test reports crashes and answers to the quarantine of one host.
"""

import pytest

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Digest, TargetId
from chicorybridge.quarantine.crash_evidence import CrashedRun
from chicorybridge.quarantine.quarantines import Quarantine
from chicorybridge.tools.models.sample_attempts import make_attempt

DIGEST = Digest('crashing')
# Targets that a request may crash before it is refused.
MAX_VICTIMS = 3
SECOND_MS = 1000


def _suspect(quarantine, digest, target, at):
    run = CrashedRun(
        digest=digest, target_id=TargetId(target), started_at=Millis(at)
    )
    quarantine.suspect(run, now=Millis(at))


@pytest.mark.parametrize('others', [15, 20, 25, 30])
def test_crashes_without_a_request_do_not_lift_its_blame(others):
    """So many other targets crash in the same minute."""
    quarantine = Quarantine()
    for number in range(others):
        _suspect(quarantine, Digest(f'o-{number}'), f'o-{number}', at=number)
    for number in range(MAX_VICTIMS):
        _suspect(quarantine, DIGEST, f'quotes-{number}', at=SECOND_MS)
    assert quarantine.refuses(DIGEST, now=Millis(SECOND_MS))


@pytest.mark.parametrize('suspects', [4, 8])
def test_suspects_of_the_same_crashes_do_not_lift_blame(suspects):
    """All of them are in flight at the same targets each time."""
    quarantine = Quarantine()
    digests = [Digest(f'crashing-{number}') for number in range(suspects)]
    for number in range(MAX_VICTIMS):
        for digest in digests:
            _suspect(quarantine, digest, f'quotes-{number}', at=SECOND_MS)
    assert all(
        quarantine.refuses(digest, now=Millis(SECOND_MS)) for digest in digests
    )


def test_crashes_of_the_same_targets_count_again_after_an_answer():
    """A service of few targets meets this soon."""
    quarantine = Quarantine()
    later = Millis(19 * SECOND_MS)
    for number in range(MAX_VICTIMS):
        _suspect(quarantine, DIGEST, f'quotes-{number}', at=0)
    quarantine.record_attempt(DIGEST, make_attempt(), now=Millis(SECOND_MS))
    assert not quarantine.refuses(DIGEST, now=Millis(SECOND_MS))
    for number in range(MAX_VICTIMS):
        _suspect(quarantine, DIGEST, f'quotes-{number}', at=later)
    assert quarantine.refuses(DIGEST, now=later)


def test_failed_answer_does_not_lift_blame():
    """A gray target fails at once, without running the request."""
    quarantine = Quarantine()
    for number in range(MAX_VICTIMS):
        _suspect(quarantine, DIGEST, f'quotes-{number}', at=0)
    failed = make_attempt(AttemptOutcome.failed)
    quarantine.record_attempt(DIGEST, failed, now=Millis(SECOND_MS))
    assert quarantine.refuses(DIGEST, now=Millis(SECOND_MS))

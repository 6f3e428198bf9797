"""Tests of the decisions on claims of keyed requests."""

import pytest

from chicorybridge import settings
from chicorybridge.claims.claim_messages import (
    AttemptId,
    ClaimDecided,
    ClaimFinished,
    ClaimRefusal,
    ClaimRequested,
    ClaimVerdict,
    ClaimWithdrawn,
    EntryId,
    EntryLost,
    KeptAnswer,
)
from chicorybridge.claims.claims import Claims
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import (
    Digest,
    HostId,
    Incarnation,
    RequestKey,
)
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.tools.simulations.channels import FaultyChannel

ANSWER = KeptAnswer(status=201, headers=((b'x', b'1'),), body=b'booked')
CALLER_KEY = RequestKey('5f0c')
FINGERPRINT = Digest('body')
ALPHA = HostId('a')
BETA = HostId('b')
GAMMA = HostId('c')


class Fleet:
    """Three hosts with one entry process each, on a faulty channel."""

    def __init__(self):
        """Start the hosts and let them issue their key prefixes."""
        self.channel = FaultyChannel(seed=1)
        self.today = 20_000
        self.claims_by_host = {}
        for number, host_id in enumerate((ALPHA, BETA, GAMMA), start=1):
            self.start(host_id, number)
        self.channel.run(for_ms=200)

    def start(self, host_id, incarnation):
        """Start a host, or replace it by a new process."""
        claims = Claims(
            host_id=host_id,
            incarnation=Incarnation(incarnation),
            today=lambda: self.today,
        )
        self.claims_by_host[host_id] = claims
        self.channel.add(host_id, claims)

    def key(self, host_id, suffix='1'):
        """Return a key with the current prefix of the host."""
        return RequestKey(
            self.claims_by_host[host_id].claim_owner.key_prefix + suffix
        )

    def request(
        self, host_id, attempt, key, *, fingerprint=FINGERPRINT, wait_ms=300
    ):
        """Request a claim on a host; return the decision, `None` without."""
        request = ClaimRequested(
            attempt_id=AttemptId(attempt),
            entry_id=EntryId(f'entry-{host_id}'),
            key=key,
            fingerprint=fingerprint,
        )
        self.channel.deliver(host_id, request, sender=host_id)
        self.channel.run(for_ms=wait_ms)
        return self.decision(attempt)

    def decision(self, attempt):
        """Return the only decision on an attempt, `None` without one."""
        decisions = [
            message
            for _, _, message in self.channel.entry_messages
            if isinstance(message, ClaimDecided)
            and message.attempt_id == attempt
        ]
        assert len(decisions) < 2
        return decisions[0] if decisions else None

    def finish(self, host_id, attempt, key, *, outcome=RequestOutcome.complete):
        """Report the outcome of an attempt that was allowed to run."""
        complete = outcome is RequestOutcome.complete
        finished = ClaimFinished(
            attempt_id=AttemptId(attempt),
            key=key,
            owner=self.decision(attempt).owner,
            outcome=outcome,
            answer=ANSWER if complete else None,
        )
        self.channel.deliver(host_id, finished, sender=host_id)
        self.channel.run(for_ms=300)


@pytest.fixture
def fleet():
    """Return three hosts on a channel without faults."""
    return Fleet()


@pytest.mark.parametrize('issuer', [ALPHA, None])
@pytest.mark.parametrize('requesting_host', [ALPHA, BETA])
def test_repeat_gets_the_stored_answer(fleet, issuer, requesting_host):
    """A repeat through any host gets the stored answer and does not run."""
    key = CALLER_KEY if issuer is None else fleet.key(issuer)
    assert fleet.request(ALPHA, 'first', key).verdict is ClaimVerdict.run
    fleet.finish(ALPHA, 'first', key)
    again = fleet.request(requesting_host, 'again', key)
    assert again.verdict is ClaimVerdict.replay
    assert again.answer == ANSWER


@pytest.mark.parametrize('issuer', [ALPHA, None])
@pytest.mark.parametrize('requesting_host', [ALPHA, GAMMA])
def test_other_body_is_a_conflict(fleet, issuer, requesting_host):
    """A key that is reused for another request is refused."""
    key = CALLER_KEY if issuer is None else fleet.key(issuer)
    fleet.request(ALPHA, 'first', key)
    other = fleet.request(
        requesting_host, 'other', key, fingerprint=Digest('other')
    )
    assert other.refusal is ClaimRefusal.conflict
    assert other.refusal.code is ErrorCode.key_conflict
    assert other.refusal.outcome is RequestOutcome.not_run


def test_repeat_waits_for_the_end_of_the_first_attempt(fleet):
    """A repeat during the first attempt gets its answer when it ends."""
    key = fleet.key(ALPHA)
    fleet.request(ALPHA, 'first', key)
    assert fleet.request(BETA, 'again', key, wait_ms=5000) is None
    fleet.finish(ALPHA, 'first', key)
    assert fleet.decision('again').answer == ANSWER


def test_repeat_runs_after_an_attempt_that_was_not_run(fleet):
    """A claim is released when its holder reports that nothing ran."""
    key = fleet.key(ALPHA)
    fleet.request(BETA, 'first', key)
    fleet.finish(BETA, 'first', key, outcome=RequestOutcome.not_run)
    assert fleet.request(GAMMA, 'again', key).verdict is ClaimVerdict.run


def test_late_report_of_an_earlier_attempt_does_not_release(fleet):
    """Only a report of the holder can release the claim."""
    key = fleet.key(ALPHA)
    fleet.request(BETA, 'first', key)
    fleet.finish(BETA, 'first', key, outcome=RequestOutcome.not_run)
    fleet.request(GAMMA, 'second', key)
    fleet.finish(BETA, 'first', key, outcome=RequestOutcome.not_run)
    assert fleet.request(BETA, 'third', key, wait_ms=11_000).verdict is (
        ClaimVerdict.refused
    )


def test_owner_replaced(fleet):
    """A key whose owner was replaced is refused with outcome unknown."""
    key = fleet.key(ALPHA)
    fleet.request(BETA, 'first', key)
    fleet.start(ALPHA, 9)
    again = fleet.request(GAMMA, 'again', key)
    assert again.refusal is ClaimRefusal.owner_gone
    assert again.refusal.outcome is RequestOutcome.unknown


def test_owner_unreachable(fleet):
    """An attempt that gets no reply from the owner is refused in time."""
    key = fleet.key(ALPHA)
    fleet.channel.cut_links |= {(ALPHA, BETA)}
    refused = fleet.request(BETA, 'first', key, wait_ms=2500)
    assert refused.refusal is ClaimRefusal.owner_unreachable
    # The owner granted the claim, but the link lost its replies, so the
    # owner still regards the attempt as running.
    fleet.channel.cut_links.clear()
    assert fleet.request(GAMMA, 'again', key, wait_ms=11_000).refusal is (
        ClaimRefusal.under_way
    )


def test_late_decision_is_declined(fleet):
    """A grant to an attempt given up earlier is returned to the owner."""
    key = fleet.key(ALPHA)
    fleet.channel.paused.add(ALPHA)
    refused = fleet.request(BETA, 'first', key, wait_ms=2500)
    assert refused.refusal is ClaimRefusal.owner_unreachable
    fleet.channel.paused.clear()
    fleet.channel.run(for_ms=1000)
    assert fleet.request(GAMMA, 'again', key).verdict is ClaimVerdict.run


def test_withdrawn_attempt_releases_the_claim(fleet):
    """The claim is released when an entry process cancels its attempt."""
    key = fleet.key(ALPHA)
    fleet.request(BETA, 'first', key)
    withdrawn = ClaimWithdrawn(attempt_id=AttemptId('first'))
    fleet.channel.deliver(BETA, withdrawn, sender=BETA)
    fleet.channel.run(for_ms=200)
    assert fleet.request(GAMMA, 'again', key).verdict is ClaimVerdict.run


@pytest.mark.parametrize('requesting_host', [ALPHA, BETA])
def test_entry_process_lost_during_an_attempt(fleet, requesting_host):
    """An attempt of a dead entry process may have run; repeats are refused."""
    key = fleet.key(ALPHA)
    fleet.request(requesting_host, 'first', key)
    lost = EntryLost(entry_id=EntryId(f'entry-{requesting_host}'))
    fleet.channel.deliver(requesting_host, lost, sender=requesting_host)
    fleet.channel.run(for_ms=200)
    assert (
        fleet.request(GAMMA, 'again', key).refusal is ClaimRefusal.first_unknown
    )


def test_holder_that_never_reports(fleet):
    """A claim becomes unknown if its holder does not report in time.

    A late report of the holder is still recorded.
    """
    key = fleet.key(ALPHA)
    fleet.request(ALPHA, 'first', key)
    fleet.channel.run(for_ms=settings.CLAIM_RUN_TIMEOUT_MS, tick_ms=1000)
    assert (
        fleet.request(BETA, 'again', key).refusal is ClaimRefusal.first_unknown
    )
    fleet.finish(ALPHA, 'first', key)
    assert fleet.request(GAMMA, 'later', key).answer == ANSWER


def test_store_outage_affects_only_caller_chosen_keys(fleet):
    """Issued keys need no store; a caller-chosen key is refused."""
    fleet.channel.store.outage = True
    key = fleet.key(ALPHA)
    assert fleet.request(BETA, 'first', key).verdict is ClaimVerdict.run
    refused = fleet.request(BETA, 'other', CALLER_KEY)
    assert refused.refusal is ClaimRefusal.store_unavailable
    assert refused.refusal.outcome is RequestOutcome.unknown


def test_unanswered_write_is_resolved_by_a_retry(fleet):
    """The retry finds the row written and recognizes it as its own."""
    fleet.channel.store.unanswered_share = 1
    assert fleet.request(ALPHA, 'first', CALLER_KEY) is None
    fleet.channel.store.unanswered_share = 0
    fleet.channel.run(for_ms=1000)
    assert fleet.decision('first').verdict is ClaimVerdict.run


def test_row_of_a_refused_attempt_is_resolved(fleet):
    """A refused attempt does not block its key.

    The retry of its unanswered write finds the row, and the claim starts as
    released.
    """
    fleet.channel.store.unanswered_share = 1
    refused = fleet.request(ALPHA, 'first', CALLER_KEY, wait_ms=3000)
    assert refused.refusal is ClaimRefusal.store_unavailable
    fleet.channel.store.unanswered_share = 0
    fleet.channel.run(for_ms=1000)
    assert fleet.request(BETA, 'again', CALLER_KEY).verdict is ClaimVerdict.run


def test_answer_in_the_row_is_available_without_the_owner(fleet):
    """A repeat of a complete caller-chosen key needs only the store."""
    fleet.request(ALPHA, 'first', CALLER_KEY)
    fleet.finish(ALPHA, 'first', CALLER_KEY)
    fleet.channel.remove(ALPHA)
    assert fleet.request(BETA, 'again', CALLER_KEY).answer == ANSWER


def test_expired_key_is_never_run_again(fleet):
    """A key whose claim was deleted is refused as expired."""
    key = fleet.key(ALPHA)
    fleet.request(ALPHA, 'first', key)
    fleet.request(ALPHA, 'other', CALLER_KEY)
    retention_ms = settings.CLAIM_EPOCH_MS * (settings.CLAIM_EPOCHS + 1)
    fleet.channel.run(for_ms=retention_ms, tick_ms=10_000)
    assert fleet.request(ALPHA, 'again', key).refusal is ClaimRefusal.expired
    assert (
        fleet.request(BETA, 'twice', CALLER_KEY).refusal is ClaimRefusal.expired
    )


def test_claims_share_transactions(fleet):
    """50 claims requested together need two transactions."""
    claims = fleet.claims_by_host[ALPHA]
    for number in range(50):
        fleet.request(
            ALPHA, f'try-{number}', RequestKey(f'k{number}'), wait_ms=0
        )
    fleet.channel.run(for_ms=500)
    assert all(
        fleet.decision(f'try-{number}').verdict is ClaimVerdict.run
        for number in range(50)
    )
    assert claims.assignments.transactions == 2


def test_old_rows_are_deleted(fleet, monkeypatch):
    """Rows are deleted only when no host reads their day any more."""
    monkeypatch.setattr(settings, 'CLAIM_SWEEP_INTERVAL_MS', 10)
    fleet.channel.run(for_ms=2 * 600_000, tick_ms=10_000)
    fleet.request(ALPHA, 'first', CALLER_KEY)
    fleet.channel.run(for_ms=200_000)
    assert len(fleet.channel.store.tables.rows_by_key) == 1
    fleet.today += 3
    fleet.channel.run(for_ms=600_000)
    assert not fleet.channel.store.tables.rows_by_key


def test_clocks_on_both_sides_of_midnight(fleet):
    """A host whose clock is one day ahead or behind finds the row."""
    fleet.request(ALPHA, 'first', CALLER_KEY)
    for offset in (1, -1):
        fleet.today += offset
        again = fleet.request(
            BETA, f'again{offset}', CALLER_KEY, wait_ms=11_000
        )
        assert again.refusal is ClaimRefusal.under_way
        fleet.today -= offset


def test_row_writes_are_limited(fleet):
    """Many caller-chosen keys cost no more writes than a host's share."""
    hosts = 100
    claims = fleet.claims_by_host[ALPHA]
    claims.assignments.update_host_count(hosts)
    for number in range(500):
        fleet.request(
            ALPHA, f'try-{number}', RequestKey(f'k{number}'), wait_ms=0
        )
    fleet.channel.run(for_ms=10_000)
    share = settings.CLAIM_ROWS_PER_SECOND / hosts * 10
    written = len(fleet.channel.store.tables.rows_by_key)
    assert written <= settings.CLAIM_ROWS_BURST + share
    refusals = {
        message.refusal for _, _, message in fleet.channel.entry_messages[3:]
    }
    assert refusals == {None, ClaimRefusal.store_unavailable}

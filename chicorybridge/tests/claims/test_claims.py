"""Tests of the decisions about keyed requests."""

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
FOREIGN = RequestKey('5f0c')
BODY = Digest('body')
ALPHA = HostId('a')
BETA = HostId('b')
GAMMA = HostId('c')


class Fleet:
    """Three hosts with an entry each, on a faulty channel."""

    def __init__(self):
        """Start the hosts and let them issue their prefixes."""
        self.channel = FaultyChannel(seed=1)
        self.today = 20_000
        self.claims_by_host = {}
        for number, host_id in enumerate((ALPHA, BETA, GAMMA), start=1):
            self.start(host_id, number)
        self.channel.run(for_ms=200)

    def start(self, host_id, incarnation):
        """Start a host, or replace it."""
        claims = Claims(
            host_id=host_id,
            incarnation=Incarnation(incarnation),
            today=lambda: self.today,
        )
        self.claims_by_host[host_id] = claims
        self.channel.add(host_id, claims)

    def key(self, host_id, part='1'):
        """Return a key that the host issued."""
        return RequestKey(
            self.claims_by_host[host_id].claim_owner.key_prefix + part
        )

    def ask(self, host_id, attempt, key, *, fingerprint=BODY, wait_ms=300):
        """Ask through the entry of a host; return the decision, if any."""
        request = ClaimRequested(
            attempt_id=AttemptId(attempt),
            entry_id=EntryId(f'entry-{host_id}'),
            key=key,
            fingerprint=fingerprint,
        )
        self.channel.hand_in(host_id, request, sender=host_id)
        self.channel.run(for_ms=wait_ms)
        return self.decision(attempt)

    def decision(self, attempt):
        """Return the one decision of a try, `None` without one."""
        decisions = [
            message
            for _, _, message in self.channel.entry_messages
            if isinstance(message, ClaimDecided)
            and message.attempt_id == attempt
        ]
        assert len(decisions) < 2
        return decisions[0] if decisions else None

    def finish(self, host_id, attempt, key, *, outcome=RequestOutcome.complete):
        """Report the end of a try that was told to run."""
        complete = outcome is RequestOutcome.complete
        finished = ClaimFinished(
            attempt_id=AttemptId(attempt),
            key=key,
            owner=self.decision(attempt).owner,
            outcome=outcome,
            answer=ANSWER if complete else None,
        )
        self.channel.hand_in(host_id, finished, sender=host_id)
        self.channel.run(for_ms=300)


@pytest.fixture
def fleet():
    """Return three hosts without faults."""
    return Fleet()


@pytest.mark.parametrize('issuer', [ALPHA, None])
@pytest.mark.parametrize('through', [ALPHA, BETA])
def test_repeat_gets_the_first_answer(fleet, issuer, through):
    """A repeat through any host is answered and not run."""
    key = FOREIGN if issuer is None else fleet.key(issuer)
    assert fleet.ask(ALPHA, 'first', key).verdict is ClaimVerdict.run
    fleet.finish(ALPHA, 'first', key)
    again = fleet.ask(through, 'again', key)
    assert again.verdict is ClaimVerdict.replay
    assert again.answer == ANSWER


@pytest.mark.parametrize('key_of', [ALPHA, None])
@pytest.mark.parametrize('through', [ALPHA, GAMMA])
def test_other_body_is_a_conflict(fleet, key_of, through):
    """A key is good for one request only."""
    key = FOREIGN if key_of is None else fleet.key(key_of)
    fleet.ask(ALPHA, 'first', key)
    other = fleet.ask(through, 'other', key, fingerprint=Digest('other'))
    assert other.refusal is ClaimRefusal.conflict
    assert other.refusal.code is ErrorCode.key_conflict
    assert other.refusal.outcome is RequestOutcome.not_run


def test_repeat_waits_for_the_end_of_the_first_try(fleet):
    """A repeat during the first try gets its answer when it ends."""
    key = fleet.key(ALPHA)
    fleet.ask(ALPHA, 'first', key)
    assert fleet.ask(BETA, 'again', key, wait_ms=5000) is None
    fleet.finish(ALPHA, 'first', key)
    assert fleet.decision('again').answer == ANSWER


def test_repeat_runs_after_a_first_try_that_was_not_run(fleet):
    """A key is free again once its holder says that nothing ran."""
    key = fleet.key(ALPHA)
    fleet.ask(BETA, 'first', key)
    fleet.finish(BETA, 'first', key, outcome=RequestOutcome.not_run)
    assert fleet.ask(GAMMA, 'again', key).verdict is ClaimVerdict.run


def test_late_report_of_an_earlier_try_frees_nothing(fleet):
    """Only the report of the try that holds the key counts."""
    key = fleet.key(ALPHA)
    fleet.ask(BETA, 'first', key)
    fleet.finish(BETA, 'first', key, outcome=RequestOutcome.not_run)
    fleet.ask(GAMMA, 'second', key)
    fleet.finish(BETA, 'first', key, outcome=RequestOutcome.not_run)
    assert fleet.ask(BETA, 'third', key, wait_ms=11_000).verdict is (
        ClaimVerdict.refused
    )


def test_owner_replaced(fleet):
    """Nobody runs a key whose owner is gone, and the caller learns it."""
    key = fleet.key(ALPHA)
    fleet.ask(BETA, 'first', key)
    fleet.start(ALPHA, 9)
    again = fleet.ask(GAMMA, 'again', key)
    assert again.refusal is ClaimRefusal.owner_gone
    assert again.refusal.outcome is RequestOutcome.unknown


def test_owner_cut_off(fleet):
    """A repeat that can't reach the owner is refused as unknown in time."""
    key = fleet.key(ALPHA)
    fleet.channel.cut_links |= {(ALPHA, BETA)}
    refused = fleet.ask(BETA, 'first', key, wait_ms=2500)
    assert refused.refusal is ClaimRefusal.owner_unreachable
    # The owner granted the try; the late decision is declined.
    fleet.channel.cut_links.clear()
    assert fleet.ask(GAMMA, 'again', key, wait_ms=11_000).refusal is (
        ClaimRefusal.under_way
    )


def test_late_decision_is_declined(fleet):
    """A try that was given up frees the key when its decision comes."""
    key = fleet.key(ALPHA)
    fleet.channel.paused.add(ALPHA)
    refused = fleet.ask(BETA, 'first', key, wait_ms=2500)
    assert refused.refusal is ClaimRefusal.owner_unreachable
    fleet.channel.paused.clear()
    fleet.channel.run(for_ms=1000)
    assert fleet.ask(GAMMA, 'again', key).verdict is ClaimVerdict.run


def test_entry_that_withdraws_frees_the_key(fleet):
    """A decision that comes too late for the entry is given back."""
    key = fleet.key(ALPHA)
    fleet.ask(BETA, 'first', key)
    withdrawn = ClaimWithdrawn(attempt_id=AttemptId('first'))
    fleet.channel.hand_in(BETA, withdrawn, sender=BETA)
    fleet.channel.run(for_ms=200)
    assert fleet.ask(GAMMA, 'again', key).verdict is ClaimVerdict.run


@pytest.mark.parametrize('through', [ALPHA, BETA])
def test_entry_lost_while_it_runs(fleet, through):
    """A try whose entry died may have run: repeats are told unknown."""
    key = fleet.key(ALPHA)
    fleet.ask(through, 'first', key)
    lost = EntryLost(entry_id=EntryId(f'entry-{through}'))
    fleet.channel.hand_in(through, lost, sender=through)
    fleet.channel.run(for_ms=200)
    assert fleet.ask(GAMMA, 'again', key).refusal is ClaimRefusal.first_unknown


def test_holder_that_never_reports(fleet):
    """A try without an end lapses to unknown; its late end still counts."""
    key = fleet.key(ALPHA)
    fleet.ask(ALPHA, 'first', key)
    fleet.channel.run(for_ms=settings.CLAIM_RUN_MS, tick_ms=1000)
    assert fleet.ask(BETA, 'again', key).refusal is ClaimRefusal.first_unknown
    fleet.finish(ALPHA, 'first', key)
    assert fleet.ask(GAMMA, 'later', key).answer == ANSWER


def test_store_outage_stops_only_keys_of_callers(fleet):
    """Keys of ours need no platform; a key of a caller is refused."""
    fleet.channel.store.outage = True
    key = fleet.key(ALPHA)
    assert fleet.ask(BETA, 'first', key).verdict is ClaimVerdict.run
    refused = fleet.ask(BETA, 'other', FOREIGN)
    assert refused.refusal is ClaimRefusal.store_unavailable
    assert refused.refusal.outcome is RequestOutcome.unknown


def test_unanswered_write_is_settled_by_asking_again(fleet):
    """The row that took effect unanswered is known as ours."""
    fleet.channel.store.unanswered_share = 1
    assert fleet.ask(ALPHA, 'first', FOREIGN) is None
    fleet.channel.store.unanswered_share = 0
    fleet.channel.run(for_ms=1000)
    assert fleet.decision('first').verdict is ClaimVerdict.run


def test_row_that_outlives_its_try_is_settled(fleet):
    """A key whose try was refused meanwhile is free once it is settled."""
    fleet.channel.store.unanswered_share = 1
    refused = fleet.ask(ALPHA, 'first', FOREIGN, wait_ms=3000)
    assert refused.refusal is ClaimRefusal.store_unavailable
    fleet.channel.store.unanswered_share = 0
    fleet.channel.run(for_ms=1000)
    assert fleet.ask(BETA, 'again', FOREIGN).verdict is ClaimVerdict.run


def test_answer_in_the_row_outlives_the_owner(fleet):
    """A repeat of a key of a caller needs only the platform."""
    fleet.ask(ALPHA, 'first', FOREIGN)
    fleet.finish(ALPHA, 'first', FOREIGN)
    fleet.channel.remove(ALPHA)
    assert fleet.ask(BETA, 'again', FOREIGN).answer == ANSWER


def test_forgotten_key_is_never_run_again(fleet):
    """A key that outlived its claims is refused as unknown."""
    key = fleet.key(ALPHA)
    fleet.ask(ALPHA, 'first', key)
    fleet.ask(ALPHA, 'other', FOREIGN)
    life = settings.CLAIM_EPOCH_MS * (settings.CLAIM_EPOCHS + 1)
    fleet.channel.run(for_ms=life, tick_ms=10_000)
    assert fleet.ask(ALPHA, 'again', key).refusal is ClaimRefusal.expired
    assert fleet.ask(BETA, 'twice', FOREIGN).refusal is ClaimRefusal.expired


def test_claims_go_in_groups(fleet):
    """Claims that come together cost two transactions, not many."""
    claims = fleet.claims_by_host[ALPHA]
    for number in range(50):
        fleet.ask(ALPHA, f'try-{number}', RequestKey(f'k{number}'), wait_ms=0)
    fleet.channel.run(for_ms=500)
    assert all(
        fleet.decision(f'try-{number}').verdict is ClaimVerdict.run
        for number in range(50)
    )
    assert claims.assignments.transactions == 2


def test_old_rows_are_swept(fleet, monkeypatch):
    """Rows go once no host looks for their day any more, and not before."""
    monkeypatch.setattr(settings, 'CLAIM_SWEEP_MS', 10)
    fleet.channel.run(for_ms=2 * 600_000, tick_ms=10_000)
    fleet.ask(ALPHA, 'first', FOREIGN)
    fleet.channel.run(for_ms=200_000)
    assert len(fleet.channel.store.tables.rows_by_key) == 1
    fleet.today += 3
    fleet.channel.run(for_ms=600_000)
    assert not fleet.channel.store.tables.rows_by_key


def test_clocks_on_both_sides_of_midnight(fleet):
    """A repeat is known to a host whose day is the next or the last one."""
    fleet.ask(ALPHA, 'first', FOREIGN)
    for offset in (1, -1):
        fleet.today += offset
        again = fleet.ask(BETA, f'again{offset}', FOREIGN, wait_ms=11_000)
        assert again.refusal is ClaimRefusal.under_way
        fleet.today -= offset


def test_rows_written_are_bounded(fleet):
    """A flood of keys of callers costs no more than a host's share."""
    hosts = 100
    claims = fleet.claims_by_host[ALPHA]
    claims.assignments.update_host_count(hosts)
    for number in range(500):
        fleet.ask(ALPHA, f'try-{number}', RequestKey(f'k{number}'), wait_ms=0)
    fleet.channel.run(for_ms=10_000)
    share = settings.CLAIM_ROWS_PER_SECOND / hosts * 10
    written = len(fleet.channel.store.tables.rows_by_key)
    assert written <= settings.CLAIM_ROWS_BURST + share
    refusals = {
        message.refusal for _, _, message in fleet.channel.entry_messages[3:]
    }
    assert refusals == {None, ClaimRefusal.store_unavailable}

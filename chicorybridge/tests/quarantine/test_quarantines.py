"""Tests of the quarantine of crashing requests on many hosts."""

import random

import pytest

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.events import EventKind
from chicorybridge.common.identities import Digest, HostId
from chicorybridge.common.systems import Send, SendToEntries
from chicorybridge.quarantine.gossip import QuarantineGossip
from chicorybridge.quarantine.quarantines import (
    Quarantine,
    may_have_crashed,
)
from chicorybridge.quarantine.crash_reports import (
    CrashSuspected,
    SuspectCleared,
)
from chicorybridge.tools.models.crash_models import CrashModel, CrashPlan
from chicorybridge.tools.models.sample_attempts import make_attempt
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare

NOW = Millis(0)
DIGEST = Digest('a')
OWN_HOST_ID = HostId('host-0')
HOSTS = tuple(HostId(f'host-{number}') for number in range(40))
# Limit on the targets that one request crashes before it is refused, if it
# crashes every target that runs it.
MAX_VICTIMS = 3


def _cut_attempt(target):
    return make_attempt(AttemptOutcome.cut, target=target)


@pytest.mark.parametrize(
    ('attempt', 'suspect'),
    [
        (_cut_attempt('quotes-0'), True),
        (make_attempt(AttemptOutcome.cut, sent_bytes=0), False),
        (make_attempt(AttemptOutcome.cut, first_byte_ms=1), False),
        (make_attempt(AttemptOutcome.timed_out), False),
        (make_attempt(AttemptOutcome.failed), False),
    ],
)
def test_only_a_cut_before_the_answer_suggests_a_crash(attempt, suspect):
    """Slow and failing targets, or cut answers, make no request suspect."""
    assert may_have_crashed(attempt) is suspect


def test_entry_refuses_a_request_after_two_victims():
    """An entry that saw both crashes refuses the request by itself."""
    quarantine = Quarantine()
    assert quarantine.is_empty
    for target in ('quotes-0', 'quotes-1'):
        assert not quarantine.refuses(DIGEST, now=NOW)
        report = quarantine.record_attempt(
            DIGEST, _cut_attempt(target), now=NOW
        )
        assert isinstance(report, CrashSuspected)
    assert quarantine.refuses(DIGEST, now=NOW)


def test_entry_clears_a_request_that_is_answered():
    """An answered request was in flight at the crash by chance."""
    quarantine = Quarantine()
    quarantine.record_attempt(DIGEST, _cut_attempt('quotes-0'), now=NOW)
    report = quarantine.record_attempt(DIGEST, make_attempt(), now=NOW)
    assert report == SuspectCleared(digest=DIGEST)
    assert not quarantine.is_suspect(DIGEST)
    assert quarantine.record_attempt(DIGEST, make_attempt(), now=NOW) is None


def test_only_new_reports_are_forwarded():
    """Reports of an own entry go to all peers, those of a peer to a few."""
    system = QuarantineGossip(
        host_id=OWN_HOST_ID, peers=lambda: HOSTS, rng=random.Random(1)
    )
    quarantine = Quarantine()
    report = quarantine.record_attempt(
        DIGEST, _cut_attempt('quotes-0'), now=NOW
    )
    effects = list(system.receive(report, sender=OWN_HOST_ID, now=NOW))
    assert SendToEntries(message=report) in effects
    sends = {effect.to for effect in effects if isinstance(effect, Send)}
    assert sends == set(HOSTS) - {OWN_HOST_ID}
    assert not list(system.receive(report, sender=HOSTS[3], now=NOW))
    other = quarantine.record_attempt(DIGEST, _cut_attempt('quotes-1'), now=NOW)
    relayed = list(system.receive(other, sender=HOSTS[3], now=NOW))
    recipients = [effect.to for effect in relayed if isinstance(effect, Send)]
    assert 0 < len(recipients) < len(HOSTS) / 2
    assert OWN_HOST_ID not in recipients and HOSTS[3] not in recipients


SHORT_PLAN = CrashPlan(for_ms=1500, warm_up_ms=300, per_second=800, repeats=15)


def _run(plan, seed):
    model = CrashModel(
        declare(ServiceShape(targets=30, old_every=3)), plan, seed=seed
    )
    model.run()
    return model


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('idempotent', [True, False])
def test_crashing_request_has_few_victims(seed, idempotent):
    """A caller repeats the request on 40 hosts; no other one is refused."""
    plan = CrashPlan(
        for_ms=SHORT_PLAN.for_ms,
        warm_up_ms=SHORT_PLAN.warm_up_ms,
        per_second=SHORT_PLAN.per_second,
        repeats=SHORT_PLAN.repeats,
        idempotent=idempotent,
        cut_links=0.2,
    )
    model = _run(plan, seed)
    assert 2 <= model.crashes <= MAX_VICTIMS
    assert model.refused_wrongly == 0
    kinds = {event.kind for _, _, event in model.channel.events}
    assert EventKind.request_quarantined in kinds


def test_crashes_without_a_cause_quarantine_no_request():
    """Six targets crash one after the other under load."""
    plan = CrashPlan(
        for_ms=SHORT_PLAN.for_ms,
        warm_up_ms=SHORT_PLAN.warm_up_ms,
        per_second=SHORT_PLAN.per_second,
        crashing=0,
        dying_targets=6,
    )
    model = _run(plan, 3)
    assert model.crashes == 6
    assert model.refused_wrongly == 0
    assert not any(call.quarantined for call in model.fleet.calls)

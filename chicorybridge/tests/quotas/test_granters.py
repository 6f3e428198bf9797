"""Permits of one granter, and whom a host asks for them."""

from typing import Any

import pytest

from chicorybridge.common.identities import HostId, WorkspaceId, ZoneId
from chicorybridge.quotas.askers import Inquiry
from chicorybridge.quotas.messages import (
    PermitHandover,
    PermitReply,
    PermitRequest,
    PermitReturn,
)
from chicorybridge.tests.quotas.fleets import BOUNDS, Fleet, workspace_of

ACME = workspace_of(rate_per_s=8, burst=0)
ASKING = HostId('edge-9')
OWN_ZONE = ZoneId('z-0')


class OneGranter:
    """The granter of a workspace, asked directly."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self.fleet = Fleet(24, ACME)
        self.host = self.fleet.granter_of(ACME.workspace_id, OWN_ZONE)
        self._number = 0

    def ask(self, *, number: int = 0, sender: HostId = ASKING) -> PermitReply:
        """Ask for a permit, with a new number by default."""
        self._number += 1
        request = PermitRequest(
            number=number or self._number, workspace_id=ACME.workspace_id
        )
        return self.host.granter.reply(
            request, sender=sender, now=self.fleet.clock.now()
        )

    def use_up(self) -> int:
        """Return how many permits there are."""
        count = 0
        while self.ask().is_granted:
            count += 1
        return count

    def give_back(self, number: int) -> None:
        """Return a permit."""
        self.host.granter.take_back(
            PermitReturn(number=number),
            sender=ASKING,
            now=self.fleet.clock.now(),
        )


@pytest.fixture(name='one')
def _one() -> OneGranter:
    return OneGranter()


def test_wait_until_the_next_permit_is_told(one):
    one.use_up()
    wait_ms = one.ask().wait_ms
    one.fleet.run(ms=wait_ms + 1)
    assert one.ask().is_granted
    assert not one.ask().is_granted


def test_repeated_datagram_gets_no_second_permit(one):
    permits = one.use_up()
    other = OneGranter()
    assert all(other.ask(number=77).is_granted for _ in range(5))
    assert other.use_up() == permits - 1


def test_same_number_of_another_host_is_another_request(one):
    permits = one.use_up()
    other = OneGranter()
    assert other.ask(number=77).is_granted
    assert other.ask(number=77, sender=HostId('edge-8')).is_granted
    assert other.use_up() == permits - 2


def test_unused_permit_is_returned_once(one):
    assert one.ask(number=77).is_granted
    one.use_up()
    for _ in range(3):
        one.give_back(77)
    assert one.use_up() == 1


def test_permit_that_was_refused_can_not_be_returned(one):
    one.use_up()
    assert not one.ask(number=77).is_granted
    one.give_back(77)
    one.give_back(78)
    assert not one.use_up()


def test_returned_permit_does_not_exceed_the_bucket(one):
    size = BOUNDS.bucket_size(ACME, zones=4)
    assert one.ask(number=77).is_granted
    one.fleet.run(ms=5000)
    one.give_back(77)
    assert one.use_up() == int(size)


def test_host_that_is_not_the_granter_refers_to_it(one):
    other = next(
        host
        for host in one.fleet.hosts
        if host.zone_id == OWN_ZONE and host is not one.host
    )
    request = PermitRequest(number=1, workspace_id=ACME.workspace_id)
    reply = other.granter.reply(
        request, sender=ASKING, now=one.fleet.clock.now()
    )
    assert (reply.is_granted, reply.granter_id) == (False, one.host.host_id)


def test_stopping_granter_hands_its_bucket_over(one):
    one.use_up()
    one.fleet.run(ms=50)
    one.host.is_serving = False
    now = one.fleet.clock.now()
    next_id, handover = next(one.host.granter.tick(now=now))
    successor = one.fleet.by_id[next_id].granter
    # Its bucket would be full: it was never used.
    successor.receive_levels(handover, now=now)
    request = PermitRequest(number=1, workspace_id=ACME.workspace_id)
    levels = handover.levels_by_id
    assert levels[ACME.workspace_id] < 1
    one.fleet.by_id[next_id].table.drop(
        one.host.host_id, one.host.incarnation, silent_since=now
    )
    assert not successor.reply(request, sender=ASKING, now=now).is_granted


def test_malformed_level_is_ignored(one):
    one.use_up()
    for level in (float('nan'), float('inf')):
        one.host.granter.receive_levels(
            PermitHandover(levels_by_id={ACME.workspace_id: level}),
            now=one.fleet.clock.now(),
        )
    assert not one.use_up()


def test_workspace_without_a_limit_here_gets_permits(one):
    one.fleet.workspaces_by_id.clear()
    assert all(one.ask().is_granted for _ in range(100))
    assert not len(one.host.granter)


def test_records_are_dropped_when_they_are_old(one):
    one.ask()
    assert len(one.host.granter) == 1
    one.fleet.run(ms=61_000)
    assert not len(one.host.granter)
    assert not one.host.granter._numbers


def _inquiry(fleet: Fleet) -> Any:
    return Inquiry(asker=fleet.hosts[0].asker, workspace_id=ACME.workspace_id)


def _refusal(wait_ms: float) -> PermitReply:
    return PermitReply(number=1, is_granted=False, wait_ms=wait_ms)


def test_zones_are_asked_from_near_to_far_and_refusals_remembered(one):
    inquiry = _inquiry(one.fleet)
    now = one.fleet.clock.now()
    zones = []
    question = inquiry.next_question(now=now)
    while question is not None:
        zones.append(question.zone_id)
        inquiry.record_reply(question, _refusal(500), now=now)
        question = inquiry.next_question(now=now)
    assert zones[:2] == ['z-0', 'z-1']
    assert set(zones[2:]) == {'z-2', 'z-3'}
    again = _inquiry(one.fleet)
    assert again.next_question(now=now) is None
    assert again.has_reply
    assert again.pause_ms(now=now) == 500


def test_silent_granter_is_spared_and_the_next_host_asked(one):
    inquiry = _inquiry(one.fleet)
    now = one.fleet.clock.now()
    first = inquiry.next_question(now=now)
    inquiry.record_reply(first, None, now=now)
    second = inquiry.next_question(now=now)
    assert second.zone_id == first.zone_id
    assert second.granter_id != first.granter_id
    # That one refers to the silent one, which is not asked again.
    reply = PermitReply(number=1, is_granted=False, granter_id=first.granter_id)
    inquiry.record_reply(second, reply, now=now)
    assert inquiry.next_question(now=now).zone_id != first.zone_id


def test_hosts_that_refer_to_each_other_end_no_search(one):
    inquiry = _inquiry(one.fleet)
    now = one.fleet.clock.now()
    asked = []
    question = inquiry.next_question(now=now)
    while question is not None:
        asked.append(question.granter_id)
        referral = PermitReply(
            number=1, is_granted=False, granter_id=HostId(f'e-{len(asked)}')
        )
        inquiry.record_reply(question, referral, now=now)
        question = inquiry.next_question(now=now)
    assert len(asked) <= 8
    assert not inquiry.has_reply


def test_granters_of_workspaces_are_spread_over_the_zone():
    fleet = Fleet(24)
    granters = {
        fleet.granter_of(WorkspaceId(f'w-{number}'), OWN_ZONE).host_id
        for number in range(100)
    }
    assert len(granters) == 6

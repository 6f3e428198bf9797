"""Tests of rollouts through the faulty channel, store and all."""

import pytest

from chicorybridge import settings
from chicorybridge.identities import ApplyId, HostId, Version
from chicorybridge.tools.sized_declarations import declared
from chicorybridge.tools.fleets import Fleet
from chicorybridge.versions import (
    ApplyProgress,
    ApplyRequested,
    ApplyStage,
    FleetStatus,
    LagReason,
    StatusRequested,
)

FIRST = HostId('host-0000')
SECOND = HostId('host-0001')
SETTLE_MS = 8000
IN_FORCE_MS = 2000


class Rollout(Fleet):
    """A fleet with one operator and the first version in force."""

    def __init__(self, *, size: int, seed: int = 1) -> None:
        """Bring the first version in force."""
        super().__init__(size=size, seed=seed)
        self.answers = self.operator('operator').answers
        self.channel.run(for_ms=SETTLE_MS)
        self.apply('first', base=0)
        self.channel.run(for_ms=SETTLE_MS)
        assert self.last.stage is ApplyStage.accepted

    @property
    def last(self) -> ApplyProgress:
        """Return the last progress that the operator was told."""
        told = [
            answer
            for answer in self.answers
            if isinstance(answer, ApplyProgress)
        ]
        return told[-1]

    def apply(
        self,
        name: str,
        *,
        base: int,
        at: HostId = FIRST,
        sender: str = 'operator',
        excused: tuple[HostId, ...] = (),
    ) -> None:
        """Hand an apply in at a host."""
        request = ApplyRequested(
            apply_id=ApplyId(f'apply-{name}'),
            base=Version(base),
            body=declared(name).body,
            excused=excused,
        )
        self.channel.hand_in(at, request, sender=HostId(sender))

    def status(self, at: HostId = FIRST) -> FleetStatus:
        """Ask one host for the status of the fleet."""
        self.channel.hand_in(at, StatusRequested(), sender=HostId('operator'))
        self.channel.run(for_ms=settings.STATUS_MS + 500)
        return [
            answer for answer in self.answers if isinstance(answer, FleetStatus)
        ][-1]

    @property
    def versions(self) -> dict[HostId, int]:
        """Return the version in force on each host."""
        return {
            host_id: host.rollouts.held.head.version
            for host_id, host in self.hosts_by_id.items()
            if host.rollouts.held
        }

    @property
    def serving(self) -> set[HostId]:
        """Return the hosts that may take work now."""
        now = self.channel.clock.now()
        return {
            host_id
            for host_id, host in self.hosts_by_id.items()
            if host.rollouts.may_serve(now=now)
        }


@pytest.fixture
def fleet() -> Rollout:
    """Return eight hosts with the first version in force."""
    return Rollout(size=8)


def test_a_version_is_in_force_everywhere_and_then_accepted(fleet):
    """All hosts hold and confirm the version, and the operator is told."""
    fleet.apply('second', base=1)
    fleet.channel.run(for_ms=IN_FORCE_MS)
    assert set(fleet.versions.values()) == {2}
    assert fleet.last.stage is ApplyStage.accepted
    assert fleet.status(SECOND).accepted


def test_accepted_waits_for_work_to_settle(fleet):
    """A host that has not given up contradicting work is waited for."""
    fleet.hosts_by_id[SECOND].settles = False
    fleet.apply('second', base=1)
    fleet.channel.run(for_ms=30_000)
    assert fleet.last.stage is ApplyStage.spreading
    reasons = [(host.host_id, host.reason) for host in fleet.last.waiting]
    assert reasons == [(SECOND, LagReason.settling)]
    fleet.hosts_by_id[SECOND].settles = True
    fleet.channel.run(for_ms=1000)
    assert fleet.last.stage is ApplyStage.accepted

"""Tests of the distribution of declarations between hosts."""

import pytest

from chicorybridge.common.identities import HostId
from chicorybridge.common.systems import Send
from chicorybridge.configuration.versions import BodySent
from chicorybridge.tools.simulations.channels import FaultyChannel
from chicorybridge.tools.simulations.fleets import AppliedFleet

ROLLOUT_MS = 2000
RECOVERY_MS = 30_000
LAST = HostId('host-0007')


class BodyChannel(FaultyChannel):
    """Record the bodies that hosts send: sender, receiver and message."""

    def __init__(self, *, seed: int) -> None:
        """Start without recorded bodies."""
        super().__init__(seed=seed)
        self.bodies: list[tuple[HostId, HostId, BodySent]] = []

    def execute(self, host_id: HostId, effects) -> None:
        """Record sent bodies, and carry out all effects."""
        effect_list = list(effects)
        for effect in effect_list:
            if not isinstance(effect, Send):
                continue
            if isinstance(effect.message, BodySent):
                self.bodies.append((host_id, effect.to, effect.message))
        super().execute(host_id, effect_list)


class BodyFleet(AppliedFleet):
    """A fleet on a channel that records the bodies."""

    def open_channel(self, *, seed: int) -> BodyChannel:
        """Return a channel that records the bodies."""
        self.body_channel = BodyChannel(seed=seed)
        return self.body_channel


@pytest.fixture
def fleet() -> BodyFleet:
    """Return eight hosts in two regions with the first version active."""
    fleet = BodyFleet(size=8)
    fleet.body_channel.bodies.clear()
    return fleet


def test_body_crosses_between_regions_once(fleet):
    """One host of the other region fetches the body, as a delta."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=ROLLOUT_MS)
    north = set(fleet.hosts_of_region(0))
    cross_region = [
        sent
        for sender, receiver, sent in fleet.body_channel.bodies
        if sender in north and receiver not in north
    ]
    assert set(fleet.versions.values()) == {2}
    assert len(cross_region) == 1
    assert cross_region[0].base


def test_host_two_versions_behind_gets_the_full_body(fleet):
    """A delta is sent only to hosts with the preceding version active."""
    fleet.channel.paused.add(LAST)
    fleet.apply('second', base=1)
    fleet.run(for_ms=RECOVERY_MS)
    fleet.apply('third', base=2)
    fleet.run(for_ms=RECOVERY_MS)
    fleet.body_channel.bodies.clear()
    fleet.channel.paused.clear()
    fleet.run(for_ms=RECOVERY_MS)
    assert fleet.versions[LAST] == 3
    assert not fleet.body_channel.bodies[-1][2].base


@pytest.mark.parametrize('share', [0.3, 0.6])
def test_lost_messages_are_repeated(fleet, share):
    """A version reaches all hosts although many messages are lost."""
    fleet.channel.loss_share = share
    fleet.apply('second', base=1)
    fleet.run(for_ms=RECOVERY_MS)
    assert set(fleet.versions.values()) == {2}

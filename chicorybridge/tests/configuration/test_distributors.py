"""Tests of how bodies travel between hosts."""

import pytest

from chicorybridge.common.identities import HostId
from chicorybridge.common.systems import Send
from chicorybridge.configuration.versions import BodySent
from chicorybridge.tools.simulations.channels import FaultyChannel
from chicorybridge.tools.simulations.fleets import AppliedFleet

IN_FORCE_MS = 2000
LONG_MS = 30_000
LAST = HostId('host-0007')


class BodyChannel(FaultyChannel):
    """Keep the bodies that hosts send: sender, receiver and message."""

    def __init__(self, *, seed: int) -> None:
        """Start with none."""
        super().__init__(seed=seed)
        self.bodies: list[tuple[HostId, HostId, BodySent]] = []

    def carry_out(self, host_id: HostId, effects) -> None:
        """Note bodies, and carry all effects out."""
        listed = list(effects)
        for effect in listed:
            if not isinstance(effect, Send):
                continue
            if isinstance(effect.message, BodySent):
                self.bodies.append((host_id, effect.to, effect.message))
        super().carry_out(host_id, listed)


class BodyFleet(AppliedFleet):
    """A fleet on a channel that keeps the bodies."""

    def open_channel(self, *, seed: int) -> BodyChannel:
        """Return that channel."""
        self.watched = BodyChannel(seed=seed)
        return self.watched


@pytest.fixture
def fleet() -> BodyFleet:
    """Return eight hosts in two regions with the first version."""
    fleet = BodyFleet(size=8)
    fleet.watched.bodies.clear()
    return fleet


def test_body_crosses_the_far_link_once(fleet):
    """One host of the other region fetches it, as a difference."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=IN_FORCE_MS)
    north = set(fleet.of_region(0))
    crossed = [
        sent
        for sender, receiver, sent in fleet.watched.bodies
        if sender in north and receiver not in north
    ]
    assert set(fleet.versions.values()) == {2}
    assert len(crossed) == 1
    assert crossed[0].base


def test_host_two_versions_behind_gets_the_whole(fleet):
    """A difference is sent only to holders of the version before."""
    fleet.channel.paused.add(LAST)
    fleet.apply('second', base=1)
    fleet.run(for_ms=LONG_MS)
    fleet.apply('third', base=2)
    fleet.run(for_ms=LONG_MS)
    fleet.watched.bodies.clear()
    fleet.channel.paused.clear()
    fleet.run(for_ms=LONG_MS)
    assert fleet.versions[LAST] == 3
    assert not fleet.watched.bodies[-1][2].base


@pytest.mark.parametrize('share', [0.3, 0.6])
def test_lost_messages_are_made_good(fleet, share):
    """A version arrives everywhere although many messages are lost."""
    fleet.channel.loss_share = share
    fleet.apply('second', base=1)
    fleet.run(for_ms=LONG_MS)
    assert set(fleet.versions.values()) == {2}

"""Tests of grants of bandwidth within a region."""

import random

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, RegionId, ServiceId
from chicorybridge.common.systems import Send, SendToEntries
from chicorybridge.routing.crossings import CrossingGranted, CrossingWanted
from chicorybridge.routing.grants import Grants, Pool
from chicorybridge.tools.models.declared import ServiceShape, declare

SERVICE = ServiceId('quotes')
HOSTS = tuple(HostId(f'host-{number}') for number in range(5))
LATER = Millis(settings.CROSSING_LEASE_MS)


def _wanted(entry_id, rate):
    return CrossingWanted(
        entry_id=entry_id, service_id=SERVICE, bytes_per_second=rate
    )


def _system(host_id):
    system = Grants(host_id=host_id, region_hosts=lambda: HOSTS)
    system.set_declaration(declare(ServiceShape()), RegionId('north'))
    return system


def _asked(system, sender):
    """Return the effects of a demand that `sender` passes on."""
    return tuple(system.receive(_wanted('e', 1), sender=sender, now=LATER))


def test_pool_is_shared_fairly():
    """Who wants little gets it; the rest is split evenly."""
    pool = Pool(size=100, opened_at=Millis(0))
    for round_number in range(3):
        now = Millis(round_number * settings.CROSSING_LEASE_MS / 2)
        rates = {
            entry_id: round(pool.grant(_wanted(entry_id, rate), now=now))
            for entry_id, rate in (('a', 10), ('b', 500), ('c', 500))
        }
    assert rates == {'a': 10, 'b': 45, 'c': 45}


def test_pool_is_never_passed():
    """Whoever asks for whatever, the grants in force fit the pool."""
    rng = random.Random(4)
    pool = Pool(size=100, opened_at=Millis(0))
    held: dict[str, tuple[float, float]] = {}
    for step in range(3000):
        now = Millis(step * 50)
        entry_id = str(rng.randrange(12))
        rate = pool.grant(_wanted(entry_id, rng.uniform(0, 80)), now=now)
        held[entry_id] = (rate, now + settings.CROSSING_LEASE_MS)
        in_force = sum(rate for rate, until in held.values() if until > now)
        assert in_force <= 100 + 1e-6


def test_new_granting_host_waits_for_old_grants_to_end():
    """Two hosts never grant the same bandwidth one after the other."""
    pool = Pool(size=100, opened_at=LATER)
    assert pool.grant(_wanted('a', 50), now=Millis(1)) == 0
    assert pool.grant(_wanted('a', 50), now=LATER) == 50


def test_one_host_of_the_region_grants_a_service():
    """Demand goes to it and the grant comes back to the entry."""
    systems = {host_id: _system(host_id) for host_id in HOSTS}
    asked = [
        effect
        for host_id, system in systems.items()
        for effect in _asked(system, host_id)
    ]
    granting_ids = {found.to for found in asked if isinstance(found, Send)}
    assert len(granting_ids) == 1
    granting = granting_ids.pop()
    asking = next(host_id for host_id in HOSTS if host_id != granting)
    systems[granting] = _system(granting)
    systems[granting].receive(_wanted('e', 1), sender=asking, now=Millis(0))
    answer = _asked(systems[granting], asking)[0]
    assert isinstance(answer, Send) and answer.to == asking
    assert isinstance(answer.message, CrossingGranted)
    assert round(answer.message.bytes_per_second) == 1
    effects = systems[asking].receive(
        answer.message, sender=granting, now=LATER
    )
    assert effects == (SendToEntries(message=answer.message),)

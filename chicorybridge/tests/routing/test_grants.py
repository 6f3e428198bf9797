"""Tests of grants of bandwidth between regions."""

import random

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, RegionId, ServiceId
from chicorybridge.common.systems import Send, SendToEntries
from chicorybridge.routing.crossings import CrossingGranted, CrossingWanted
from chicorybridge.routing.grants import BandwidthPool, Grants
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare

SERVICE = ServiceId('quotes')
HOSTS = tuple(HostId(f'host-{number}') for number in range(5))
AFTER_LEASE = Millis(settings.CROSSING_LEASE_MS)


def _request(entry_id, rate):
    return CrossingWanted(
        entry_id=entry_id, service_id=SERVICE, bytes_per_second=rate
    )


def _system(host_id):
    system = Grants(host_id=host_id, region_hosts=lambda: HOSTS)
    system.set_declaration(declare(ServiceShape()), RegionId('north'))
    return system


def _request_effects(system, sender):
    """Return the effects of a bandwidth request sent by `sender`."""
    return tuple(
        system.receive(_request('e', 1), sender=sender, now=AFTER_LEASE)
    )


def test_pool_is_shared_fairly():
    """Small requests are granted in full; the rest is divided evenly."""
    pool = BandwidthPool(size=100, opened_at=Millis(0))
    for round_number in range(3):
        now = Millis(round_number * settings.CROSSING_LEASE_MS / 2)
        rates = {
            entry_id: round(pool.grant(_request(entry_id, rate), now=now))
            for entry_id, rate in (('a', 10), ('b', 500), ('c', 500))
        }
    assert rates == {'a': 10, 'b': 45, 'c': 45}


def test_grants_never_exceed_the_pool():
    """The sum of the active grants fits the pool for random requests."""
    rng = random.Random(4)
    pool = BandwidthPool(size=100, opened_at=Millis(0))
    grants_by_entry: dict[str, tuple[float, float]] = {}
    for step in range(3000):
        now = Millis(step * 50)
        entry_id = str(rng.randrange(12))
        rate = pool.grant(_request(entry_id, rng.uniform(0, 80)), now=now)
        grants_by_entry[entry_id] = (rate, now + settings.CROSSING_LEASE_MS)
        active = sum(
            rate for rate, until in grants_by_entry.values() if until > now
        )
        assert active <= 100 + 1e-6


def test_new_granting_host_waits_for_old_grants_to_expire():
    """Bandwidth granted by the previous host is not granted again."""
    pool = BandwidthPool(size=100, opened_at=AFTER_LEASE)
    assert pool.grant(_request('a', 50), now=Millis(1)) == 0
    assert pool.grant(_request('a', 50), now=AFTER_LEASE) == 50


def test_one_host_of_the_region_grants_a_service():
    """Requests are forwarded to it, and the grant returns to the entry."""
    systems = {host_id: _system(host_id) for host_id in HOSTS}
    effects = [
        effect
        for host_id, system in systems.items()
        for effect in _request_effects(system, host_id)
    ]
    granting_ids = {effect.to for effect in effects if isinstance(effect, Send)}
    assert len(granting_ids) == 1
    granting_host = granting_ids.pop()
    requester = next(host_id for host_id in HOSTS if host_id != granting_host)
    systems[granting_host] = _system(granting_host)
    systems[granting_host].receive(
        _request('e', 1), sender=requester, now=Millis(0)
    )
    reply = _request_effects(systems[granting_host], requester)[0]
    assert isinstance(reply, Send) and reply.to == requester
    assert isinstance(reply.message, CrossingGranted)
    assert round(reply.message.bytes_per_second) == 1
    effects = systems[requester].receive(
        reply.message, sender=granting_host, now=AFTER_LEASE
    )
    assert effects == (SendToEntries(message=reply.message),)

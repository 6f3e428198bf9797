"""What a host that starts learns from the others."""

from typing import Any, cast

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import Digest, TargetId
from chicorybridge.quarantine.crash_reports import CrashSuspected, Victim
from chicorybridge.tests.hosts.zones import Zone

DIGEST = Digest('a')


class _AnyConfiguration:
    version = 1
    limits = None


@pytest.fixture(name='zone')
def _zone() -> Zone:
    zone = Zone(5, cast(Any, _AnyConfiguration()))
    for number in range(settings.MIN_VICTIMS):
        report = CrashSuspected(
            digest=DIGEST, victim=Victim(target_id=TargetId(f'i-{number}'))
        )
        for host in zone.hosts:
            host.view.on_message(report, zone.hosts[0].host_id)
    return zone


def _refusing(zone: Zone) -> int:
    now = zone.clock.now()
    return sum(
        host.view.quarantine.refuses(DIGEST, now=now) for host in zone.hosts
    )


def test_host_that_restarts_refuses_what_crashes_targets(zone):
    for host in tuple(zone.hosts):
        assert _refusing(zone) == len(zone.hosts)
        zone.restart(host)
        assert _refusing(zone) == len(zone.hosts) - 1
        zone.run(ms=settings.HOST_HEARTBEAT_INTERVAL_MS + settings.TICK_MS)
    assert _refusing(zone) == len(zone.hosts)


def test_two_hosts_tell_one_that_restarts(zone):
    zone.restart(zone.hosts[0])
    zone.run(ms=2 * settings.HOST_HEARTBEAT_INTERVAL_MS)
    received = zone.hosts[0].received
    counts = {kind.__name__: count for kind, count in received.items()}
    assert counts['SuspectsKnown'] == settings.NEWCOMER_INFORMANTS

"""Whom a host asks about the store, and what the reports show together."""

import random

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import ManualClock, Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.host_tables import HostTable
from chicorybridge.fleet.store_inquiries import StoreInquiry
from chicorybridge.tests.hosts.test_fleet_views import (
    FAR_ZONE_ID,
    REGIONS,
    ZONE_ID,
    HostModel,
)

START = Millis(1_000_000)
SILENT_MS = 1800
FAR_ID = HostId('far-0')


def _inquiry(hosts: int, *, far_hosts: int = 0) -> StoreInquiry:
    clock = ManualClock(start=START)
    models = [
        *(HostModel(f'edge-{number}', clock) for number in range(hosts)),
        *(
            HostModel(f'far-{number}', clock, FAR_ZONE_ID)
            for number in range(far_hosts)
        ),
    ]
    table = HostTable(
        host_id=HostId('own'), zone_id=ZONE_ID, regions_by_zone=REGIONS
    )
    for model in models:
        table.record(model.profile(), now=START)
    return StoreInquiry(host_table=table, rng=random.Random(1))


def _ask(inquiry: StoreInquiry, at: Millis = START) -> tuple[HostId, ...]:
    return inquiry.hosts_to_ask(silent_ms=SILENT_MS, now=at)


@pytest.mark.parametrize('hosts', [20, 200])
def test_host_asks_as_few_others_in_a_large_region(hosts):
    asked = _ask(_inquiry(hosts, far_hosts=hosts))
    assert len(asked) == settings.STORE_QUERY_HOSTS + 1


def test_reports_of_the_own_region_do_not_suffice_if_another_is_reachable():
    inquiry = _inquiry(9, far_hosts=3)
    for host_id in _ask(inquiry)[: settings.STORE_QUERY_HOSTS]:
        inquiry.record(host_id, asked_at=START, silent=True)
    assert not inquiry.confirms_silence(START)
    inquiry.record(FAR_ID, asked_at=START, silent=True)
    assert inquiry.confirms_silence(START)


def test_reports_of_the_own_region_suffice_once_no_other_is_heard():
    inquiry = _inquiry(9, far_hosts=3)
    later = Millis(START + 2 * SILENT_MS)
    for host_id in _ask(inquiry, at=later)[: settings.STORE_QUERY_HOSTS]:
        inquiry.record(host_id, asked_at=later, silent=True)
    assert inquiry.confirms_silence(later)


def test_host_that_nobody_answers_is_isolated_until_one_does():
    inquiry = _inquiry(9)
    asked = _ask(inquiry)
    assert not inquiry.is_isolated(now=START)
    later = Millis(START + settings.STORE_QUERY_INTERVAL_MS)
    assert inquiry.is_isolated(now=later)
    inquiry.record(asked[0], asked_at=START, silent=False)
    assert not inquiry.is_isolated(now=later)

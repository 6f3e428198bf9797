"""Tests of claims, loans and loss of permits."""

from chicorybridge.common.identities import HostId, Version
from chicorybridge.detection.ledgers import budgets_of, ledger_of, row_key_of
from chicorybridge.detection.permit_holdings import HoldingTable
from chicorybridge.storage.stores import ReadRows
from chicorybridge.tools.models.mixed_declarations import SERVICE_ID, declare
from chicorybridge.tools.simulations.detection_fleets import DetectionFleet

# Ten targets of six slots with a floor of 0.9 leave one target to eject.
BUDGET = 6
FIRST = HostId('host-00')
SECOND = HostId('host-01')


def _fleet(*, hosts=3):
    declaration = declare(targets=10, floor=0.9)
    return DetectionFleet(hosts=hosts, declaration=declaration, seed=5)


def _holding(fleet, host_id):
    holdings = fleet.hosts_by_id[host_id].detection.holdings
    return holdings.by_service[SERVICE_ID]


def _free_slots(fleet):
    """Return the free slots of all running hosts, loans included."""
    return sum(
        max(0, host.detection.holdings.free_slots(SERVICE_ID, now=fleet.now))
        for host_id, host in fleet.hosts_by_id.items()
        if host_id not in fleet.channel.paused
    )


def _holder_id(fleet):
    return next(
        host_id
        for host_id in fleet.hosts_by_id
        if _holding(fleet, host_id).owned
    )


def _ledger_shares(fleet):
    tables = fleet.channel.store.tables
    reply = tables.execute(ReadRows(row_keys=(row_key_of(SERVICE_ID),)))
    return ledger_of(SERVICE_ID, reply.rows[0]).shares_by_holder


def test_budget_counts_slots_above_the_floor():
    """The slots of the floor are rounded up."""
    assert budgets_of(declare(targets=10, floor=0.7))[SERVICE_ID] == 18
    assert budgets_of(declare(targets=7, floor=0.7))[SERVICE_ID] == 12
    assert budgets_of(declare(targets=8, floor=1))[SERVICE_ID] == 0


def test_claims_stay_within_the_budget():
    """All hosts claim permits; together they get the budget."""
    fleet = _fleet()
    fleet.run(for_ms=10_000)
    assert _free_slots(fleet) == BUDGET
    assert sum(_ledger_shares(fleet).values()) == BUDGET


def test_unanswered_claims_never_exceed_the_budget():
    """A claim without an answer is not counted as held."""
    fleet = _fleet()
    fleet.channel.store.unanswered_share = 0.5
    for _ in range(300):
        fleet.run()
        assert (
            _free_slots(fleet) <= sum(_ledger_shares(fleet).values()) <= BUDGET
        )


def test_loan_moves_permits_without_the_store():
    """A host borrows from a peer while the store is unavailable."""
    fleet = _fleet()
    fleet.run(for_ms=5000)
    fleet.channel.store.outage = True
    holder = _holder_id(fleet)
    borrower = next(each for each in fleet.hosts_by_id if each != holder)
    detection = fleet.hosts_by_id[borrower].detection
    detection.ejections.request_permits(SERVICE_ID, BUDGET, now=fleet.now)
    fleet.run(for_ms=500)
    assert detection.holdings.free_slots(SERVICE_ID, now=fleet.now) == BUDGET
    assert _free_slots(fleet) == BUDGET


def test_verdict_takes_precedence_over_a_suspicion():
    """A peer with a suspected target lends to one with a gray target."""
    fleet = _fleet()
    fleet.run(for_ms=5000)
    holder = _holder_id(fleet)
    borrower = next(each for each in fleet.hosts_by_id if each != holder)
    detection = fleet.hosts_by_id[borrower].detection
    lender = fleet.hosts_by_id[holder].detection
    for _ in range(5):
        lender.ejections.request_permits(SERVICE_ID, BUDGET, now=fleet.now)
        detection.ejections.request_permits(
            SERVICE_ID, BUDGET, for_verdict=True, now=fleet.now
        )
        fleet.run()
    assert detection.holdings.free_slots(SERVICE_ID, now=fleet.now) == BUDGET


def test_loan_counts_only_while_the_lender_is_alive():
    """Others can claim the share of a dead lender, so its loan must end."""
    fleet = _fleet()
    fleet.run(for_ms=5000)
    holder = _holder_id(fleet)
    borrower = next(each for each in fleet.hosts_by_id if each != holder)
    detection = fleet.hosts_by_id[borrower].detection
    detection.ejections.request_permits(SERVICE_ID, BUDGET, now=fleet.now)
    fleet.run(for_ms=500)
    fleet.crash_host(holder)
    fleet.update_hosts()
    fleet.run(for_ms=6000)
    assert detection.holdings.free_slots(SERVICE_ID, now=fleet.now) <= 0


def _pause_until_reclaimed(fleet):
    """Pause the holder until a peer has claimed its share; resume it."""
    holder = _holder_id(fleet)
    host = fleet.hosts_by_id[holder]
    fleet.channel.paused.add(holder)
    fleet.ended_incarnations.add(host.incarnation)
    fleet.update_hosts()
    fleet.run(for_ms=40_000)
    assert _free_slots(fleet) == BUDGET
    fleet.channel.paused.clear()
    fleet.ended_incarnations.clear()
    fleet.update_hosts()
    fleet.run(for_ms=200)


def test_share_of_a_paused_host_is_never_held_twice():
    """A host that resumes drops what others may have claimed."""
    fleet = _fleet()
    fleet.run(for_ms=5000)
    _pause_until_reclaimed(fleet)
    assert _free_slots(fleet) == BUDGET


def test_share_kept_through_a_pause_is_held_twice(monkeypatch):
    """A host that keeps its permits over a pause exceeds the budget."""
    fleet = _fleet()
    fleet.run(for_ms=5000)
    monkeypatch.setattr(
        HoldingTable, 'drop_after_echo_loss', lambda _, now: None
    )
    _pause_until_reclaimed(fleet)
    assert _free_slots(fleet) == 2 * BUDGET


def test_host_that_skipped_a_version_drops_its_permits():
    """It cannot know what the others held under that version."""
    fleet = _fleet()
    fleet.run(for_ms=5000)
    holder = _holder_id(fleet)
    fleet.version = Version(3)
    fleet.configure_host(holder)
    assert _holding(fleet, holder).owned == 0

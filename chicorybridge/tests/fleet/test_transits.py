"""How long messages waited on their way."""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.transits import TransitTable

SENDER = HostId('edge-1')
# The clock of the sender is ahead by so much.
AHEAD_MS = 500_000
SHORTEST_MS = 12


def _waited_ms(table: TransitTable, *, sent_at: float, transit_ms: float):
    return table.waited_ms(
        SENDER, sent_at=sent_at + AHEAD_MS, now=Millis(sent_at + transit_ms)
    )


def test_wait_is_what_a_message_takes_beyond_the_shortest_transit():
    table = TransitTable()
    assert not _waited_ms(table, sent_at=0, transit_ms=SHORTEST_MS)
    assert _waited_ms(table, sent_at=100, transit_ms=700) == 700 - SHORTEST_MS


def test_sender_whose_clock_starts_anew_is_measured_anew():
    table = TransitTable()
    _waited_ms(table, sent_at=100_000, transit_ms=SHORTEST_MS)
    restarted_at = Millis(130_000)
    table.waited_ms(SENDER, sent_at=AHEAD_MS, now=restarted_at)
    late_at = Millis(restarted_at + 400)
    assert table.waited_ms(SENDER, sent_at=AHEAD_MS, now=late_at) == 400


def test_drift_of_clocks_is_forgotten():
    table = TransitTable()
    _waited_ms(table, sent_at=0, transit_ms=SHORTEST_MS)
    for windows in range(1, 4):
        sent_at = windows * settings.TRANSIT_WINDOW_MS
        waited_ms = _waited_ms(table, sent_at=sent_at, transit_ms=100)
    assert not waited_ms

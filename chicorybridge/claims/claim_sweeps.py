"""Deletion of rows of claims whose retention has ended.

At random intervals every host deletes a small random part of the rows of
one past day. The random selection makes coordination between hosts
unnecessary.
"""

import random
from collections.abc import Callable

from chicorybridge import settings
from chicorybridge.claims.claim_rows import CLAIM_TABLE, day_prefix
from chicorybridge.common.clocks import Millis
from chicorybridge.common.systems import CallStore
from chicorybridge.storage.stores import (
    Condition,
    Row,
    ScanRows,
    StoreOutcome,
    StoreReply,
    Transact,
    Write,
)

SCAN_TOKEN = 'claims:scan'  # noqa: S105
DELETE_TOKEN = 'claims:delete'  # noqa: S105

# Number of parts of the rows of a day, one for each value of the first two
# hexadecimal digits of the hash in the row key. A sweep reads one part.
PARTS_PER_DAY = 256
# Minimum and maximum age of the rows that are swept, in days. Rows of the
# last two days stay, because the clocks of hosts may differ by a day.
SWEPT_AGES_DAYS = (3, 9)


class ClaimSweeps:
    """Scan and delete old rows in small parts."""

    def __init__(self, *, today: Callable[[], int], rng: random.Random) -> None:
        """Delay the first sweep randomly; `today` returns the day number."""
        self._today = today
        self._rng = rng
        self._next_sweep_at: Millis | None = None

    def tick(self, *, now: Millis) -> list[CallStore]:
        """Start a scan of a part of an old day when it is due."""
        if self._next_sweep_at is None:
            self._next_sweep_at = self._draw_next_at(now)
        if now < self._next_sweep_at:
            return []
        self._next_sweep_at = self._draw_next_at(now)
        day = self._today() - self._rng.randint(*SWEPT_AGES_DAYS)
        part = format(self._rng.randrange(PARTS_PER_DAY), '02x')
        scan = ScanRows(table=CLAIM_TABLE, prefix=day_prefix(day) + part)
        return [CallStore(token=SCAN_TOKEN, request=scan)]

    def handle_reply(self, reply: StoreReply) -> list[CallStore]:
        """Delete the rows of a scan unless they have changed since the scan."""
        if reply.token != SCAN_TOKEN or reply.outcome is not StoreOutcome.done:
            return []
        if not reply.rows:
            return []
        rows = reply.rows[: settings.MAX_CLAIM_ROWS_PER_TRANSACTION]
        return [CallStore(token=DELETE_TOKEN, request=_delete_rows(rows))]

    def _draw_next_at(self, now: Millis) -> Millis:
        interval_ms = self._rng.uniform(0, 2 * settings.CLAIM_SWEEP_INTERVAL_MS)
        return Millis(now + interval_ms)


def _delete_rows(rows: tuple[Row, ...]) -> Transact:
    return Transact(
        conditions=tuple(
            Condition(row_key=row.row_key, version=row.version) for row in rows
        ),
        writes=tuple(Write(row_key=row.row_key, body=None) for row in rows),
    )

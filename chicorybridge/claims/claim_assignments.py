"""Assignment of owners to caller-chosen keys, through rows in the store.

Only one transaction is in flight at a time. Keys that are requested in the
meantime are queued and share the next transaction.
"""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable

from chicorybridge import settings
from chicorybridge.claims.claim_messages import ClaimRefusal, KeptAnswer
from chicorybridge.claims.claim_rows import OwnerRow, candidate_row_keys
from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import RequestKey
from chicorybridge.common.systems import CallStore
from chicorybridge.storage.stores import (
    Condition,
    Row,
    RowKey,
    StoreOutcome,
    StoreReply,
    Transact,
    Write,
)

ASSIGNMENT_TOKEN = 'claims:assignments'  # noqa: S105


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """Result of the request for the row of a key: the row or a refusal.

    `created` is true if this process has just written the row.
    """

    key: RequestKey
    row: OwnerRow | None = None
    created: bool = False
    refusal: ClaimRefusal | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class RowChange:
    """A row to write: a new one, or one owned here with its answer added."""

    key: RequestKey
    row: OwnerRow
    conditions: tuple[Condition, ...]
    # An earlier write was not answered, so it may have taken effect.
    may_be_written: bool = False

    @property
    def is_new(self) -> bool:
        """Return whether the row must not exist before the write."""
        return self.conditions[0].version == 0

    @property
    def write(self) -> Write:
        """Return the write; its row key is that of the first condition."""
        return Write(
            row_key=self.conditions[0].row_key, body=self.row.to_body()
        )


class ClaimAssignments:
    """Write the rows of keys in groups and return the owners they name."""

    def __init__(self, *, today: Callable[[], int]) -> None:
        """Create an empty queue; `today` returns the number of the day."""
        # Number of transactions started so far.
        self.transactions = 0
        # Bounds the rate of row writes of this host to its share of the
        # fleet's limit.
        self.write_bucket = TokenBucket(
            per_second=settings.CLAIM_ROWS_PER_SECOND
            / settings.CLAIM_DEFAULT_HOSTS,
            burst=settings.CLAIM_ROWS_BURST,
        )
        self._today = today
        self._queued: OrderedDict[RequestKey, RowChange] = OrderedDict()
        self._in_flight: dict[RequestKey, RowChange] = {}
        # Rows created by this process that have no answer yet.
        self._without_answer: OrderedDict[RequestKey, RowChange] = OrderedDict()
        self._retry_at = Millis(0)

    def update_host_count(self, hosts: int) -> None:
        """Set the rate limit to that of the fleet divided by `hosts`."""
        per_second = settings.CLAIM_ROWS_PER_SECOND / max(1, hosts)
        self.write_bucket.per_second = per_second

    def queue_row(self, key: RequestKey, row: OwnerRow) -> bool:
        """Queue `row` as the new row of a key.

        Return `False` if the queue is full. If the key has a queued row
        already, `row` is dropped and the result is `True`.
        """
        if key in self._queued or key in self._in_flight:
            return True
        if len(self._queued) >= settings.MAX_QUEUED_CLAIM_ROWS:
            return False
        row_keys = candidate_row_keys(key, today=self._today())
        self._queued[key] = RowChange(
            key=key, row=row, conditions=_conditions(row_keys, version=0)
        )
        return True

    def store_answer(self, key: RequestKey, answer: KeptAnswer) -> None:
        """Queue a write that adds the answer to the row of an owned key.

        The answer is dropped if the queue is full, or if the row is not one
        of the recent rows without an answer that this process created.
        """
        change = self._without_answer.pop(key, None)
        if (
            change is None
            or len(self._queued) >= settings.MAX_QUEUED_CLAIM_ROWS
        ):
            return
        self._queued[key] = RowChange(
            key=key,
            row=dataclasses.replace(change.row, answer=answer),
            conditions=_conditions((change.write.row_key,), version=1),
        )

    def flush(self, *, now: Millis) -> list[CallStore]:
        """Start the next transaction unless one is in flight or delayed."""
        if self._in_flight or not self._queued or now < self._retry_at:
            return []
        allowed = int(self.write_bucket.level(now=now))
        size = min(
            len(self._queued), settings.MAX_CLAIM_ROWS_PER_TRANSACTION, allowed
        )
        if size < 1:
            return []
        self.write_bucket.spend(size, now=now)
        changes = [self._queued.popitem(last=False)[1] for _ in range(size)]
        self._in_flight = {change.key: change for change in changes}
        self.transactions += 1
        request = Transact(
            conditions=tuple(
                condition
                for change in changes
                for condition in change.conditions
            ),
            writes=tuple(change.write for change in changes),
        )
        return [CallStore(token=ASSIGNMENT_TOKEN, request=request)]

    def handle_reply(
        self, reply: StoreReply, *, now: Millis
    ) -> list[Assignment]:
        """Handle the reply to the transaction in flight."""
        changes = list(self._in_flight.values())
        self._in_flight = {}
        match reply.outcome:
            case StoreOutcome.done:
                return [
                    self._record_owned(change)
                    for change in changes
                    if change.is_new
                ]
            case StoreOutcome.conflict:
                return self._resolve_conflict(changes, reply.rows)
            case StoreOutcome.unavailable:
                self._retry_at = Millis(
                    now + settings.CLAIM_ROWS_RETRY_DELAY_MS
                )
                return self._refuse_new(changes)
            case StoreOutcome.unanswered:
                self._retry_at = Millis(now + settings.CLAIM_RESEND_INTERVAL_MS)
                self._retry(changes)
        return []

    def _record_owned(self, change: RowChange) -> Assignment:
        self._without_answer[change.key] = change
        if len(self._without_answer) > settings.MAX_CLAIMS:
            self._without_answer.popitem(last=False)
        return Assignment(key=change.key, row=change.row, created=True)

    def _resolve_conflict(
        self, changes: list[RowChange], rows: tuple[Row, ...]
    ) -> list[Assignment]:
        rows_by_key = {row.row_key: row for row in rows}
        assignments = []
        for change in reversed(changes):
            found = _find_row(change, rows_by_key)
            if found is None:
                self._requeue(change)
            elif change.is_new and found.version:
                assignments.append(self._resolve_found(change, found))
        return assignments

    def _resolve_found(self, change: RowChange, found: Row) -> Assignment:
        row = OwnerRow.from_body(found.body)
        # An earlier write of this process took effect, but its reply was
        # lost.
        same_owner = row.owner == change.row.owner
        if same_owner and row.attempt_id == change.row.attempt_id:
            return self._record_owned(change)
        return Assignment(key=change.key, row=row)

    def _refuse_new(self, changes: list[RowChange]) -> list[Assignment]:
        for change in reversed(changes):
            # Retry rows that may have been written, to find out whether they
            # were, and answers, which must still be stored.
            if change.may_be_written or not change.is_new:
                self._requeue(change)
        return [
            Assignment(key=refused.key, refusal=ClaimRefusal.store_unavailable)
            for refused in changes
            if refused.is_new
        ]

    def _retry(self, changes: list[RowChange]) -> None:
        for change in reversed(changes):
            change.may_be_written = True
            self._requeue(change)

    def _requeue(self, change: RowChange) -> None:
        self._queued[change.key] = change
        self._queued.move_to_end(change.key, last=False)


def _conditions(
    row_keys: tuple[RowKey, ...], *, version: int
) -> tuple[Condition, ...]:
    return tuple(
        Condition(row_key=row_key, version=version) for row_key in row_keys
    )


def _find_row(change: RowChange, rows_by_key: dict[RowKey, Row]) -> Row | None:
    rows = (
        rows_by_key.get(condition.row_key) for condition in change.conditions
    )
    return next((row for row in rows if row is not None), None)

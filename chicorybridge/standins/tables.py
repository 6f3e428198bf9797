"""Tables, objects and hosts in memory, with the platform's semantics."""

from typing import Any

from chicorybridge.common.identities import Digest, HostId
from chicorybridge.storage.stores import (
    Condition,
    GetObject,
    ListedHost,
    ListHosts,
    PutObject,
    ReadRows,
    Row,
    RowKey,
    ScanRows,
    StoreOutcome,
    StoreReply,
    StoreRequest,
    Transact,
    Write,
)


class MemoryTables:
    """Carry out store requests at once; the base of every stand-in."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows_by_key: dict[RowKey, Row] = {}
        self.objects_by_digest: dict[Digest, bytes] = {}
        self.hosts_by_id: dict[HostId, ListedHost] = {}

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Carry out `request`; the outcome is done or conflict."""
        match request:
            case Transact():
                return self._transact(request, token)
            case ReadRows():
                found = tuple(self._row(key) for key in request.row_keys)
                return _done(token, rows=found)
            case ScanRows():
                return _done(token, rows=self._scan(request))
            case PutObject():
                self.objects_by_digest[request.digest] = request.body
                return _done(token)
            case GetObject():
                body = self.objects_by_digest.get(request.digest)
                return _done(token, body=body)
            case ListHosts():
                return _done(token, hosts=tuple(self.hosts_by_id.values()))

    def _row(self, row_key: RowKey) -> Row:
        missing = Row(row_key=row_key, version=0, body={})
        return self.rows_by_key.get(row_key, missing)

    def _scan(self, request: ScanRows) -> tuple[Row, ...]:
        return tuple(
            row
            for row_key, row in sorted(
                self.rows_by_key.items(), key=lambda pair: pair[0].key
            )
            if row_key.table == request.table
            and row_key.key.startswith(request.prefix)
        )

    def _transact(self, request: Transact, token: str) -> StoreReply:
        differing = tuple(
            self._row(condition.row_key)
            for condition in request.conditions
            if not self._holds(condition)
        )
        if differing:
            return StoreReply(
                token=token, outcome=StoreOutcome.conflict, rows=differing
            )
        written = tuple(self._write(write) for write in request.writes)
        return _done(token, rows=written)

    def _holds(self, condition: Condition) -> bool:
        return self._row(condition.row_key).version == condition.version

    def _write(self, write: Write) -> Row:
        before = self._row(write.row_key)
        if write.body is None:
            self.rows_by_key.pop(write.row_key, None)
            return Row(row_key=write.row_key, version=0, body={})
        after = Row(
            row_key=write.row_key, version=before.version + 1, body=write.body
        )
        self.rows_by_key[write.row_key] = after
        return after


def _done(token: str, **found: Any) -> StoreReply:
    return StoreReply(token=token, outcome=StoreOutcome.done, **found)

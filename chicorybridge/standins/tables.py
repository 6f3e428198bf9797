"""Tables, objects and the host list of the platform, kept in memory."""

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
    """Execute store requests on data in memory, without faults."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows_by_key: dict[RowKey, Row] = {}
        self.objects_by_digest: dict[Digest, bytes] = {}
        self.hosts_by_id: dict[HostId, ListedHost] = {}

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Execute `request`; the outcome is `done` or `conflict`.

        The reply has the `token`, by which the sender finds its request.
        """
        match request:
            case Transact():
                return self._transact(request, token)
            case ReadRows():
                rows = tuple(self._row(key) for key in request.row_keys)
                return _done_reply(token, rows=rows)
            case ScanRows():
                return _done_reply(token, rows=self._scan(request))
            case PutObject():
                self.objects_by_digest[request.digest] = request.body
                return _done_reply(token)
            case GetObject():
                body = self.objects_by_digest.get(request.digest)
                return _done_reply(token, body=body)
            case ListHosts():
                return _done_reply(
                    token, hosts=tuple(self.hosts_by_id.values())
                )

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
        conflicting = tuple(
            self._row(condition.row_key)
            for condition in request.conditions
            if not self._condition_holds(condition)
        )
        if conflicting:
            return StoreReply(
                token=token, outcome=StoreOutcome.conflict, rows=conflicting
            )
        written = tuple(self._write(write) for write in request.writes)
        return _done_reply(token, rows=written)

    def _condition_holds(self, condition: Condition) -> bool:
        return self._row(condition.row_key).version == condition.version

    def _write(self, write: Write) -> Row:
        current = self._row(write.row_key)
        if write.body is None:
            self.rows_by_key.pop(write.row_key, None)
            return Row(row_key=write.row_key, version=0, body={})
        updated = Row(
            row_key=write.row_key, version=current.version + 1, body=write.body
        )
        self.rows_by_key[write.row_key] = updated
        return updated


def _done_reply(token: str, **fields: Any) -> StoreReply:
    return StoreReply(token=token, outcome=StoreOutcome.done, **fields)

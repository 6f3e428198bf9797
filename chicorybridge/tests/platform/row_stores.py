"""A fake of the platform's store: rows, a feed and failures."""

import base64
import dataclasses
import json
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

from chicorybridge.http.servers import Request, Response, ServerConnection


@dataclasses.dataclass(kw_only=True)
class RowStore:
    """Store rows in memory and answer as the platform's store does."""

    rows_by_table_and_key: dict[tuple[str, str], dict[str, Any]] = (
        dataclasses.field(default_factory=dict)
    )
    version: int = 0
    calls: int = 0
    # A feed that starts before this version is answered with 410.
    first_history_version: int = 0
    # How often the store came back from an older copy; told in its answers.
    era: int = 0
    # If set, answer every call with this status and change nothing.
    error_status: HTTPStatus | None = None
    # Close connections instead of answering; writes take effect.
    drops_answers: bool = False

    def put(self, table: str, key: str, body: bytes) -> None:
        """Set a row."""
        self.version += 1
        self.rows_by_table_and_key[table, key] = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(body).decode(),
            'ver': self.version,
        }

    def remove(self, table: str, key: str) -> None:
        """Delete a row, and keep the deletion for the feed."""
        self.version += 1
        self.rows_by_table_and_key[table, key] = {
            'table': table,
            'part': '',
            'key': key,
            'deleted': True,
            'ver': self.version,
        }

    def copy(self) -> 'RowStore':
        """Return a copy that the store may come back from."""
        return RowStore(
            rows_by_table_and_key=dict(self.rows_by_table_and_key),
            version=self.version,
        )

    def restore(self, copy: 'RowStore') -> None:
        """Come back from a copy; what was written since is gone."""
        self.rows_by_table_and_key = dict(copy.rows_by_table_and_key)
        self.version = copy.version
        self.era += 1

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        self.calls += 1
        body = await connection.read_body()
        if self.error_status is not None:
            await connection.respond(
                Response(
                    status=self.error_status,
                    headers_by_name=self._headers_by_name(),
                )
            )
            return
        url = urlsplit(request.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        status, document = self._execute(url.path, query, body)
        if self.drops_answers:
            await connection.close()
            return
        response = Response(
            status=status,
            headers_by_name=self._headers_by_name(),
            body=json.dumps(document).encode(),
        )
        await connection.respond(response)

    def _headers_by_name(self) -> dict[str, str]:
        return {'Store-Era': str(self.era)} if self.era else {}

    def _execute(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[HTTPStatus, dict[str, Any]]:
        if path == '/rows-tx':
            return HTTPStatus.OK, self._transact(json.loads(body))
        rows = self._rows(query['table'])
        if path == '/rows-get':
            remaining = [row for row in rows if not row.get('deleted')]
            remaining = [
                row for row in remaining if row['key'] >= query.get('from', '')
            ]
            limit = int(query.get('limit', '500'))
            has_more = len(remaining) > limit
            return HTTPStatus.OK, self._page(
                remaining[:limit], has_more=has_more
            )
        after = int(query['after'])
        if after < self.first_history_version or after > self.version:
            return HTTPStatus.GONE, {}
        changed = [row for row in rows if row['ver'] > after]
        changed.sort(key=lambda row: row['ver'])
        return HTTPStatus.OK, self._page(changed)

    def _transact(self, document: dict[str, Any]) -> dict[str, Any]:
        for row in document['set_keys']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        for row in document['remove']:
            self.remove(row['table'], row['key'])
        return {'ver': self.version, 'now_s': 0}

    def _rows(self, table: str) -> list[dict[str, Any]]:
        return [
            self.rows_by_table_and_key[table_and_key]
            for table_and_key in sorted(self.rows_by_table_and_key)
            if table_and_key[0] == table
        ]

    def _page(
        self, rows: list[dict[str, Any]], *, has_more: bool = False
    ) -> dict[str, Any]:
        return {
            'rows': rows,
            'ver': self.version,
            'now_s': 0,
            'has_more': has_more,
        }

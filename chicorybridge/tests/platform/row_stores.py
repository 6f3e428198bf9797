"""A stand-in for the platform's store: rows, a feed and its failures."""

import base64
import dataclasses
import json
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

from chicorybridge.http.servers import Request, Response, ServerConnection


@dataclasses.dataclass(kw_only=True)
class RowStore:
    """Keep rows of one part; answer as the platform's store does."""

    rows_by_place: dict[tuple[str, str], dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0
    calls: int = 0
    # A feed from before this version gets 410.
    history_from: int = 0
    # Answer every call with this status instead.
    refusing: HTTPStatus | None = None
    # Close connections in place of answers; writes are done all the same.
    losing: bool = False

    def put(self, table: str, key: str, body: bytes) -> None:
        """Set a row, as another writer does."""
        self.version += 1
        self.rows_by_place[table, key] = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(body).decode(),
            'ver': self.version,
        }

    def remove(self, table: str, key: str) -> None:
        """Remove a row and keep word of it for the feed."""
        self.version += 1
        self.rows_by_place[table, key] = {
            'table': table,
            'part': '',
            'key': key,
            'deleted': True,
            'ver': self.version,
        }

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one call."""
        self.calls += 1
        body = await connection.read_body()
        if self.refusing is not None:
            await connection.respond(Response(status=self.refusing))
            return
        url = urlsplit(request.path)
        query = {key: texts[0] for key, texts in parse_qs(url.query).items()}
        status, document = self._carry_out(url.path, query, body)
        if self.losing:
            await connection.close()
            return
        response = Response(status=status, body=json.dumps(document).encode())
        await connection.respond(response)

    def _carry_out(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[HTTPStatus, dict[str, Any]]:
        if path == '/rows-tx':
            return HTTPStatus.OK, self._transact(json.loads(body))
        rows = self._rows(query['table'])
        if path == '/rows-get':
            left = [row for row in rows if not row.get('deleted')]
            left = [row for row in left if row['key'] >= query.get('from', '')]
            limit = int(query.get('limit', '500'))
            more = len(left) > limit
            return HTTPStatus.OK, self._page(left[:limit], more=more)
        after = int(query['after'])
        if after < self.history_from:
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
            self.rows_by_place[place]
            for place in sorted(self.rows_by_place)
            if place[0] == table
        ]

    def _page(
        self, rows: list[dict[str, Any]], *, more: bool = False
    ) -> dict[str, Any]:
        return {
            'rows': rows,
            'ver': self.version,
            'now_s': 0,
            'has_more': more,
        }

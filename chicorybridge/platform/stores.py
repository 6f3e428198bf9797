"""The client of the platform's store: a table of rows over HTTP."""

import logging
from http import HTTPStatus
from typing import TypeAlias
from urllib.parse import urlencode

from chicorybridge.common.addresses import parse_address
from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import AnswerLostError, NotSentError, Request
from chicorybridge.platform.formats import (
    StoredRow,
    StoredRows,
    decode_rows,
    encode_row,
)

logger = logging.getLogger(__name__)

# Tables of the platform.
OPERATOR_TABLE = 'op'
SERVER_TABLE = 'servers'
CONFIGURATION_KEY = 'config'

# Table of the hosts of the fleet, written by themselves.
HOST_TABLE = 'hosts'

CONTENT_TYPE = 'application/json'

# Rows of one answer; the platform returns at most 500.
PAGE_ROWS = 500

# How long a call may take beyond the wait that it asks for, in
# milliseconds: the slowest answer of a store that still works.
CALL_MS = 1200


Query: TypeAlias = dict[str, str | int]


class StoreError(ChicorybridgeError):
    """Report a call that the store did not carry out."""


class HistoryGoneError(StoreError):
    """Report a feed whose history the store no longer has."""


class Store:
    """Call the store; every method raises `StoreError` if it fails."""

    def __init__(self, *, address: str) -> None:
        """Keep the address, IP:PORT."""
        self._address = parse_address(address)
        self._client = Client()
        self.calls = 0

    async def read(self, table: str) -> StoredRows:
        """Return all rows of a table as of one moment a page."""
        rows: list[StoredRow] = []
        start = ''
        while True:
            query: Query = {'table': table, 'part': '', 'limit': PAGE_ROWS}
            if start:
                query['from'] = start
            page = decode_rows(await self._get('/rows-get', query))
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return StoredRows(rows=tuple(rows), version=page.version)
            # The least key that sorts after the last one.
            last = page.rows[-1]
            start = f'{last.key}\0'

    async def watch(
        self, table: str, *, after: int, wait_ms: int
    ) -> StoredRows:
        """Return the rows changed after a version, waiting for the first.

        Raise `HistoryGoneError` if the table has to be read anew.
        """
        query: Query = {
            'table': table,
            'after': after,
            'wait_ms': wait_ms,
        }
        body = await self._get('/rows-feed', query, wait_ms=wait_ms)
        return decode_rows(body)

    async def put(self, *, table: str, key: str, body: bytes) -> None:
        """Set a row, whatever it was."""
        await self._transact(encode_row(table=table, key=key, body=body))

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _get(self, path: str, query: Query, *, wait_ms: int = 0) -> bytes:
        request = Request(method='GET', path=f'{path}?{urlencode(query)}')
        return await self._call(request, timeout_ms=CALL_MS + wait_ms)

    async def _transact(self, body: bytes) -> None:
        request = Request(
            method='POST',
            path='/rows-tx',
            headers_by_name={'Content-Type': CONTENT_TYPE},
            body=body,
        )
        await self._call(request, timeout_ms=CALL_MS)

    async def _call(self, request: Request, *, timeout_ms: int) -> bytes:
        self.calls += 1
        try:
            response = await self._client.fetch(
                self._address, request, timeout_ms=timeout_ms
            )
        except (NotSentError, AnswerLostError) as error:
            raise StoreError(
                code=ErrorCode.store_unavailable, detail=str(error)
            ) from error
        if response.status == HTTPStatus.GONE:
            raise HistoryGoneError(
                code=ErrorCode.store_unavailable, detail='history is gone'
            )
        if response.status != HTTPStatus.OK:
            raise StoreError(
                code=ErrorCode.store_unavailable,
                detail=f'status {response.status}',
            )
        return response.body

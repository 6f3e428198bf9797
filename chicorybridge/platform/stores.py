"""Client of the platform's store, which serves tables of rows over HTTP."""

import logging
from http import HTTPStatus
from typing import TypeAlias
from urllib.parse import urlencode

from chicorybridge.common.addresses import parse_address
from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.fleet.store_versions import era_of, number_of
from chicorybridge.http.clients import Client
from chicorybridge.http.exchanges import parse_integer
from chicorybridge.http.servers import (
    AnswerLostError,
    NotSentError,
    Request,
    Response,
)
from chicorybridge.platform.formats import (
    StoredRow,
    StoredRows,
    decode_rows,
    encode_row,
)

logger = logging.getLogger(__name__)

# Tables of the platform: the operator's configuration, in one row, and the
# servers, which are the targets.
OPERATOR_TABLE = 'op'
SERVER_TABLE = 'servers'
CONFIGURATION_KEY = 'config'

# Profiles of the hosts of the fleet, written by the hosts.
HOST_TABLE = 'hosts'

CONTENT_TYPE = 'application/json'

# Rows per answer; the platform returns at most 500.
PAGE_ROWS = 500

# Rises by one each time the store comes back from an older copy.
ERA_HEADER = 'store-era'

# Time without a byte of the answer after which a call has failed, in addition
# to the wait that it requests: the slowest answers of a working store.
# The whole answer may take longer over a slow link.
CALL_IDLE_TIMEOUT_MS = 1200
# Size of a page: its rows, at most 1 MB of them, encoded.
MAX_ANSWER_BYTES = 4_000_000


Query: TypeAlias = dict[str, str | int]


class StoreError(ChicorybridgeError):
    """Report a failed call to the store."""


class HistoryGoneError(StoreError):
    """Report that the store has dropped the history a feed needs."""


class Store:
    """Read and write tables of the store.

    Methods raise `StoreError` if a call fails, and `FormatError` if the
    answer can't be decoded. `calls` counts all calls.
    """

    def __init__(self, *, address: str) -> None:
        """Call the store at `address`, IP:PORT."""
        self._address = parse_address(address)
        self._client = Client(max_answer_bytes=MAX_ANSWER_BYTES)
        self.calls = 0
        # The last era that the store named in an answer.
        self._era = 0

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received from the store."""
        return self._client.received_bytes

    async def read(self, table: str) -> StoredRows:
        """Return all rows of a table, read page by page.

        Each page is consistent in itself. The result has the store version
        of the first one, so that changes between pages are read as such.
        """
        rows: list[StoredRow] = []
        versions: list[int] = []
        start = ''
        while True:
            query: Query = {'table': table, 'part': '', 'limit': PAGE_ROWS}
            if start:
                query['from'] = start
            body = await self._get('/rows-get', query)
            page = decode_rows(body, era=self._era)
            rows.extend(page.rows)
            versions.append(page.version)
            if era_of(page.version) != era_of(versions[0]):
                raise StoreError(
                    code=ErrorCode.store_unavailable,
                    detail='store came back from a copy between two pages',
                )
            if not page.has_more or not page.rows:
                return StoredRows(rows=tuple(rows), version=versions[0])
            # The smallest key that sorts after the last one.
            last = page.rows[-1]
            start = f'{last.key}\0'

    async def watch(
        self, table: str, *, after: int, wait_ms: int
    ) -> StoredRows:
        """Return the changes of a table after the store version `after`.

        Without changes, the store waits up to `wait_ms` for one. Raise
        `HistoryGoneError` if the table must be read again completely.
        """
        query: Query = {
            'table': table,
            'after': number_of(after),
            'wait_ms': wait_ms,
        }
        body = await self._get('/rows-feed', query, wait_ms=wait_ms)
        rows = decode_rows(body, era=self._era)
        if era_of(rows.version) != era_of(after):
            # The changes since another version of that number.
            raise HistoryGoneError(
                code=ErrorCode.store_unavailable,
                detail='store came back from a copy',
            )
        return rows

    async def put(self, *, table: str, key: str, body: bytes) -> None:
        """Set a row unconditionally."""
        await self._transact(encode_row(table=table, key=key, body=body))

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _get(self, path: str, query: Query, *, wait_ms: int = 0) -> bytes:
        request = Request(method='GET', path=f'{path}?{urlencode(query)}')
        response = await self._call(
            request, idle_timeout_ms=CALL_IDLE_TIMEOUT_MS + wait_ms
        )
        self._observe_era(response)
        return response.body

    def _observe_era(self, response: Response) -> None:
        """Take over the era of an answer; raise if it is of an earlier one."""
        text = response.headers_by_name.get(ERA_HEADER, '')
        era = parse_integer(text.encode())
        if era is None:
            return
        if era < self._era:
            raise StoreError(
                code=ErrorCode.store_unavailable,
                detail=f'answer of era {era} after one of era {self._era}',
            )
        self._era = era

    async def _transact(self, body: bytes) -> None:
        request = Request(
            method='POST',
            path='/rows-tx',
            headers_by_name={'Content-Type': CONTENT_TYPE},
            body=body,
        )
        await self._call(request, idle_timeout_ms=CALL_IDLE_TIMEOUT_MS)

    async def _call(
        self, request: Request, *, idle_timeout_ms: int
    ) -> Response:
        self.calls += 1
        try:
            response = await self._client.fetch_large(
                self._address, request, idle_timeout_ms=idle_timeout_ms
            )
        except (NotSentError, AnswerLostError) as error:
            raise StoreError(
                code=ErrorCode.store_unavailable, detail=str(error)
            ) from error
        if response.status == HTTPStatus.GONE:
            raise HistoryGoneError(
                code=ErrorCode.store_unavailable,
                detail='store has dropped the requested history',
            )
        if response.status != HTTPStatus.OK:
            raise StoreError(
                code=ErrorCode.store_unavailable,
                detail=f'store answered with status {response.status}',
            )
        return response

"""Callers that reuse a connection and record what happens to each request."""

import socket
import zlib
from collections.abc import Iterator
from typing import Any

import curio
import h11

from chicorybridge.common import sockets
from chicorybridge.tests.stops.plans import PlannedRequest
from chicorybridge.tests.stops.records import (
    Exchange,
    Outcome,
    Record,
    RequestId,
    now,
    payload,
)

DEADLINE_MS = 6000
ANSWER_TIMEOUT_S = 7.0
RECEIVE_BYTES = 16384
SLOW_READER_BUFFER_BYTES = 16384


class Caller:
    """Sends requests one after the other to one host."""

    def __init__(
        self, *, number: int, host: int, address: str, record: Record
    ) -> None:
        """Connect with the first request; write to `record`."""
        self._number = number
        self._host = host
        self._address = address
        self._record = record
        self._connection: CallerConnection | None = None

    async def run(self, planned_requests: Iterator[PlannedRequest]) -> None:
        """Send requests until the host accepts no more connections."""
        try:
            for request_number, planned in enumerate(planned_requests):
                await curio.sleep(planned.pause_s)
                await self._send_request(planned, request_number)
        except OSError:
            # The host accepts no more connections.
            return
        finally:
            await self._close()

    async def _send_request(
        self, planned: PlannedRequest, request_number: int
    ) -> None:
        reused = not planned.new_connection and self._is_reusable()
        if self._connection is None or not reused:
            await self._close()
            self._connection = await _connect(self._address, planned)
        exchange = Exchange(
            request_id=RequestId(f'c{self._number}-{request_number}'),
            kind=planned.kind,
            host=self._host,
            caller=self._number,
            reused=reused,
            body_bytes=planned.body_bytes,
            answer_bytes=planned.answer_bytes,
            started_at=now(),
        )
        self._record.exchanges.append(exchange)
        await self._connection.carry_out(planned, exchange)
        exchange.ended_at = now()
        if not self._connection.prepare_next_request():
            await self._close()

    def _is_reusable(self) -> bool:
        connection = self._connection
        return connection is not None and sockets.is_idle(connection.sock)

    async def _close(self) -> None:
        if self._connection is not None:
            await self._connection.sock.close()
        self._connection = None


class CallerConnection:
    """The caller's side of one connection."""

    def __init__(self, *, sock: curio.io.Socket) -> None:
        """Use an open connection; `Caller` closes it."""
        self.sock = sock
        self._conn = h11.Connection(h11.CLIENT)

    def prepare_next_request(self) -> bool:
        """Prepare for another request; return whether one is possible."""
        if self._conn.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._conn.start_next_cycle()
            return True
        return False

    async def carry_out(
        self, planned: PlannedRequest, exchange: Exchange
    ) -> None:
        """Send a request, read its answer and record both in `exchange`."""
        try:
            await self._send(planned, exchange)
        except OSError:
            # An answer that the host sent before may still be readable.
            exchange.sent_at = None
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                await self._read_answer(planned, exchange)
        except curio.TaskTimeout:
            exchange.outcome = Outcome.timed_out
        except OSError:
            exchange.outcome = (
                Outcome.truncated if exchange.status else Outcome.reset
            )
        except h11.RemoteProtocolError:
            exchange.outcome = (
                Outcome.truncated if exchange.status else Outcome.closed
            )

    async def _send(self, planned: PlannedRequest, exchange: Exchange) -> None:
        writes = _encode_writes(self._conn, planned, exchange)
        for write in writes[:-1]:
            await self.sock.sendall(write)
            await curio.sleep(planned.write_pause_s)
            if not sockets.is_idle(self.sock):
                # The host answered or closed before the end of the body.
                return
        await self.sock.sendall(writes[-1])
        exchange.sent_at = now()

    async def _read_answer(
        self, planned: PlannedRequest, exchange: Exchange
    ) -> None:
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError(
                    'connection closed before the answer'
                )
            if isinstance(event, h11.Response):
                headers = dict(event.headers)
                exchange.status = event.status_code
                exchange.from_target = b'x-server-signature' in headers
                exchange.answer_id = headers.get(b'x-request-id', b'').decode()
            elif isinstance(event, h11.Data):
                exchange.answer_crc = zlib.crc32(
                    event.data, exchange.answer_crc
                )
                await curio.sleep(planned.read_pause_s)
            event = await self._next_event()
        exchange.outcome = Outcome.answered

    async def _next_event(self) -> Any:
        event = self._conn.next_event()
        while event is h11.NEED_DATA:
            self._conn.receive_data(await self.sock.recv(RECEIVE_BYTES))
            event = self._conn.next_event()
        return event


async def _connect(address: str, planned: PlannedRequest) -> CallerConnection:
    sock = await sockets.connect(address)
    if planned.read_pause_s:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES
        )
    return CallerConnection(sock=sock)


def _encode_writes(
    conn: h11.Connection, planned: PlannedRequest, exchange: Exchange
) -> list[bytes]:
    """Return the bytes of a request, one item per write."""
    body = payload(exchange.request_id, planned.body_bytes)
    write_bytes = len(body) // planned.write_count + 1
    head = conn.send(_request_head(planned, exchange)) or b''
    writes = [
        conn.send(h11.Data(data=body[first : first + write_bytes])) or b''
        for first in range(0, max(1, len(body)), write_bytes)
    ]
    writes[0] = head + writes[0]
    writes[-1] += conn.send(h11.EndOfMessage()) or b''
    return writes


def _request_head(planned: PlannedRequest, exchange: Exchange) -> h11.Request:
    path = '{0}7'.format(planned.kind.value)
    headers = [
        ('Host', 'quotes.example'),
        ('X-Request-Id', exchange.request_id),
        ('X-Deadline-Ms', str(DEADLINE_MS)),
        ('X-Work-Ms', str(planned.work_ms)),
        ('X-Answer-Bytes', str(planned.answer_bytes)),
    ]
    if not planned.body_bytes:
        return h11.Request(method='GET', target=path, headers=headers)
    framing = ('Content-Length', str(planned.body_bytes))
    if planned.chunked:
        framing = ('Transfer-Encoding', 'chunked')
    headers.append(framing)
    return h11.Request(method='POST', target=path, headers=headers)

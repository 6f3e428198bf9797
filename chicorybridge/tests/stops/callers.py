"""Callers that keep a connection and tell what became of each request."""

import socket
import zlib
from collections.abc import Iterator
from typing import Any

import curio
import h11

from chicorybridge.common import sockets
from chicorybridge.tests.stops.plans import Step
from chicorybridge.tests.stops.records import (
    Ending,
    Record,
    RequestId,
    Story,
    now,
    payload,
)

DEADLINE_MS = 6000
PATIENCE_S = 7.0
RECEIVE_BYTES = 16384
SLOW_BUFFER_BYTES = 16384


class Caller:
    """Send one request after the other to one host."""

    def __init__(
        self, *, serial: int, host: int, address: str, record: Record
    ) -> None:
        """Start without a connection."""
        self._serial = serial
        self._host = host
        self._address = address
        self._record = record
        self._connection: CallerConnection | None = None

    async def run(self, steps: Iterator[Step]) -> None:
        """Send until the host takes no more connections."""
        try:
            for number, step in enumerate(steps):
                await curio.sleep(step.pause_s)
                await self._exchange(step, number)
        except OSError:
            # The host takes no more connections.
            return
        finally:
            await self._close()

    async def _exchange(self, step: Step, number: int) -> None:
        reused = not step.fresh and self._usable()
        if self._connection is None or not reused:
            await self._close()
            self._connection = await _connect(self._address, step)
        story = Story(
            request_id=RequestId(f'c{self._serial}-{number}'),
            kind=step.kind,
            host=self._host,
            caller=self._serial,
            reused=reused,
            body_bytes=step.body_bytes,
            answer_bytes=step.answer_bytes,
            began_at=now(),
        )
        self._record.stories.append(story)
        await self._connection.exchange(step, story)
        story.ended_at = now()
        if not self._connection.next_cycle():
            await self._close()

    def _usable(self) -> bool:
        known = self._connection
        return known is not None and sockets.is_idle(known.sock)

    async def _close(self) -> None:
        if self._connection is not None:
            await self._connection.sock.close()
        self._connection = None


class CallerConnection:
    """The caller's side of one connection."""

    def __init__(self, *, sock: curio.io.Socket) -> None:
        """Take over an open connection."""
        self.sock = sock
        self._conn = h11.Connection(h11.CLIENT)

    def next_cycle(self) -> bool:
        """Make ready for another request, if there may be one."""
        if self._conn.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._conn.start_next_cycle()
            return True
        return False

    async def exchange(self, step: Step, story: Story) -> None:
        """Send a request, read its answer and tell both in `story`."""
        try:
            await self._send(step, story)
        except OSError:
            # What the host has answered may still be read.
            story.sent_at = None
        try:
            async with curio.timeout_after(PATIENCE_S):
                await self._read_answer(step, story)
        except curio.TaskTimeout:
            story.ending = Ending.silent
        except OSError:
            story.ending = Ending.cut if story.status else Ending.reset
        except h11.RemoteProtocolError:
            story.ending = Ending.cut if story.status else Ending.closed

    async def _send(self, step: Step, story: Story) -> None:
        writes = _writes(self._conn, step, story)
        for write in writes[:-1]:
            await self.sock.sendall(write)
            await curio.sleep(step.write_pause_s)
            if not sockets.is_idle(self.sock):
                # An answer before the end of the body.
                return
        await self.sock.sendall(writes[-1])
        story.sent_at = now()

    async def _read_answer(self, step: Step, story: Story) -> None:
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError('closed before the answer')
            if isinstance(event, h11.Response):
                headers = dict(event.headers)
                story.status = event.status_code
                story.signed = b'x-server-signature' in headers
                story.answered_id = headers.get(b'x-request-id', b'').decode()
            elif isinstance(event, h11.Data):
                story.answer_crc = zlib.crc32(event.data, story.answer_crc)
                await curio.sleep(step.read_pause_s)
            event = await self._next_event()
        story.ending = Ending.answered

    async def _next_event(self) -> Any:
        event = self._conn.next_event()
        while event is h11.NEED_DATA:
            self._conn.receive_data(await self.sock.recv(RECEIVE_BYTES))
            event = self._conn.next_event()
        return event


async def _connect(address: str, step: Step) -> CallerConnection:
    sock = await sockets.connect(address)
    if step.read_pause_s:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    return CallerConnection(sock=sock)


def _writes(conn: h11.Connection, step: Step, story: Story) -> list[bytes]:
    """Return the bytes of a request, one item for each write."""
    body = payload(story.request_id, step.body_bytes)
    size = len(body) // step.writes + 1
    head = conn.send(_head(step, story)) or b''
    writes = [
        conn.send(h11.Data(data=body[first : first + size])) or b''
        for first in range(0, max(1, len(body)), size)
    ]
    writes[0] = head + writes[0]
    writes[-1] += conn.send(h11.EndOfMessage()) or b''
    return writes


def _head(step: Step, story: Story) -> h11.Request:
    target = '{0}7'.format(step.kind.value)
    headers = [
        ('Host', 'quotes.example'),
        ('X-Request-Id', story.request_id),
        ('X-Deadline-Ms', str(DEADLINE_MS)),
        ('X-Work-Ms', str(step.work_ms)),
        ('X-Answer-Bytes', str(step.answer_bytes)),
    ]
    if not step.body_bytes:
        return h11.Request(method='GET', target=target, headers=headers)
    framing = ('Content-Length', str(step.body_bytes))
    if step.chunked:
        framing = ('Transfer-Encoding', 'chunked')
    headers.append(framing)
    return h11.Request(method='POST', target=target, headers=headers)

"""Answers that end with a reset, and statuses that HTTP doesn't know."""

import dataclasses

import curio
import pytest

from chicorybridge.common import sockets
from chicorybridge.http.servers import Request, ServerConnection
from chicorybridge.http.target_exchanges import TargetExchange
from chicorybridge.tests.hosts.deployments import Origin, deployed, on_curio

# Beyond what a host buffers, so that it sends the body as it arrives.
UPLOAD_BYTES = 900_000
FIRST_BYTES = 600_000
START = (
    b'HTTP/1.1 200 OK\r\n'
    b'X-Request-Id: r\r\n'
    b'X-Server-Signature: i-1\r\n\r\n'
    b'only a part'
)
# In this order a task of the host reads, or writes, right after the reset.
READER_PAUSES_S = (0, 0.1)
RESET_AFTER_S = 0.02


@dataclasses.dataclass(kw_only=True)
class ResettingOrigin(Origin):
    """A target that answers an upload early and resets the connection."""

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Send a part of an answer without a length, then reset."""
        await connection.send(START)
        await curio.sleep(RESET_AFTER_S)
        await sockets.abort(connection._sock)


@pytest.mark.parametrize('reader_pause_s', READER_PAUSES_S)
@on_curio
async def test_part_of_an_answer_before_a_reset_is_no_answer(
    reader_pause_s, monkeypatch
):
    read_head = TargetExchange.read_head

    async def read_head_late(exchange):  # noqa: WPS430
        await curio.sleep(reader_pause_s)
        return await read_head(exchange)

    monkeypatch.setattr(TargetExchange, 'read_head', read_head_late)
    async with deployed(ResettingOrigin(target_id='i-1')) as deployment:
        sock = await sockets.connect(deployment.front)
        head = (
            'POST /accept/7 HTTP/1.1\r\nHost: quotes.example\r\n'
            'X-Request-Id: r\r\nX-Deadline-Ms: 4000\r\n'
            f'Content-Length: {UPLOAD_BYTES}\r\n\r\n'
        )
        await sock.sendall(head.encode())
        await sock.sendall(bytes(FIRST_BYTES))
        await curio.sleep(2 * RESET_AFTER_S)
        # Sent on while the reader waits: the writer sees the reset.
        await sock.sendall(bytes(UPLOAD_BYTES - FIRST_BYTES))
        received = await sock.recv(65_536)
        await sock.close()
    assert received.startswith(b'HTTP/1.1 502 ')


@dataclasses.dataclass(kw_only=True)
class StatusOrigin(Origin):
    """A target that answers with a status line of any number."""

    status_line: bytes

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        await connection.read_body()
        await connection.send(
            b'HTTP/1.1 %b Odd\r\nX-Request-Id: r\r\nX-Server-Signature: i-1\r\n'
            b'Content-Length: 2\r\n\r\nok' % self.status_line
        )


@pytest.mark.parametrize(
    'status_line', [b'000', b'099', b'101', b'199', b'600', b'700', b'999']
)
@on_curio
async def test_status_that_is_no_final_one_of_http_is_no_answer(status_line):
    origin = StatusOrigin(target_id='i-1', status_line=status_line)
    async with deployed(origin) as deployment:
        answer = await deployment.send('/accept/7', method='POST')
    # An informational answer is followed by no final one.
    assert answer.status in {502, 504}

"""Callers that read large answers slowly, or not at all."""

import socket

import curio
import pytest

from chicorybridge.common import sockets
from chicorybridge.common.events import EventKind
from chicorybridge.http import settings
from chicorybridge.tests.hosts.deployments import (
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.connections.pipelines import (
    Caller,
    PacedOrigin,
    connect,
    ids,
    pipelined,
)

# More than socket buffers hold for a caller that does not read.
LARGE_BYTES = 7_000_000
SMALL_BUFFER_BYTES = 65_536
# Longer than the time limit of the route.
LATE_S = 2.3


@pytest.fixture(autouse=True)
def _room_for_large_answers(monkeypatch):
    monkeypatch.setattr(settings, 'MAX_HELD_ANSWER_BYTES', 2 * LARGE_BYTES)


async def _slow_caller(deployment: Deployment) -> Caller:
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await sock.connect(sockets.split_address(deployment.front))
    return Caller(sock)


def _outcomes(deployment: Deployment) -> list[str]:
    return [
        record['outcome']
        for record in deployment.host.log.recent()
        if record['number'] == EventKind.attempt_ended.value
    ]


@on_curio
async def test_answer_is_read_at_once_and_kept_for_a_slow_caller():
    """Its target would cut it off, or run out of memory."""
    origin = Origin(target_id='i-1', slots=1, answer_body=bytes(LARGE_BYTES))
    async with deployed(origin) as deployment:
        caller = await _slow_caller(deployment)
        await caller.send(pipelined('a'))
        await until(lambda: _outcomes(deployment) == ['answered'], within_s=2)
        # The only slot of the target is free again.
        other = await deployment.send('/lookup/7')
        await curio.sleep(LATE_S)
        answer = await caller.receive()
        calls = deployment.host.dispatcher.calls_by_number
        await until(lambda: not calls)
    assert (other.status, len(other.body)) == (200, LARGE_BYTES)
    assert answer is not None
    assert (answer.status, len(answer.body)) == (200, LARGE_BYTES)


@on_curio
async def test_large_answer_waits_for_its_turn_without_its_target():
    origin = PacedOrigin(target_id='i-1', answer_body=bytes(LARGE_BYTES))
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(pipelined('a', delay_ms=1200), pipelined('b'))
        await until(lambda: _outcomes(deployment) == ['answered'], within_s=1)
        assert origin.ended == ['b']
        answers = await caller.receive_all(2)
    assert ids(answers) == ['a', 'b']
    assert [len(answer.body) for answer in answers] == [LARGE_BYTES] * 2


@on_curio
async def test_caller_that_disconnects_ends_a_held_answer():
    origin = Origin(target_id='i-1', answer_body=bytes(LARGE_BYTES))
    async with deployed(origin) as deployment:
        caller = await _slow_caller(deployment)
        await caller.send(pipelined('a'))
        await until(lambda: _outcomes(deployment) == ['answered'])
        await caller.sock.close()
        calls = deployment.host.dispatcher.calls_by_number
        await until(lambda: not calls and not len(deployment.host.callers))


@on_curio
async def test_answer_that_its_target_cuts_never_looks_complete(monkeypatch):
    """Also if the caller has yet to read what came before the cut."""
    origin = CutOrigin(target_id='i-1', answer_body=bytes(LARGE_BYTES))
    async with deployed(origin) as deployment:
        caller = await _slow_caller(deployment)
        await caller.send(pipelined('a', b'Connection: close\r\n'))
        await until(lambda: _outcomes(deployment) == ['cut'])
        with pytest.raises(ConnectionResetError):
            await caller.receive()


class CutOrigin(Origin):
    """A target that resets the connection before the end of its answer."""

    async def answer(self, connection, request) -> None:
        """Send all of an answer but its last byte."""
        await connection.read_body()
        head = (
            b'HTTP/1.1 200 OK\r\nX-Server-Signature: i-1\r\n'
            b'X-Request-Id: a\r\nContent-Length: %d\r\n\r\n'
        )
        await connection.send(head % len(self.answer_body))
        await connection.send(self.answer_body[1:])
        await connection.close()

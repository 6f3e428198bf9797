"""Answers without an end to requests of the fleet itself."""

import dataclasses
import socket

import curio
import pytest

from chicorybridge.common.identities import TargetId
from chicorybridge.control.probers import Prober
from chicorybridge.http.fetchers import ClientConnection
from chicorybridge.http.services import AnswerLostError, Request
from chicorybridge.tests.http.floods import FloodingSocket
from chicorybridge.tests.serving import serving
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare

HEALTH = Request(method='GET', path='/health')
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
SIZED = b'HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
CHUNK = b'1000\r\n%b\r\n' % (b'x' * 4096)
KEPT_BYTES = 256 * 1024
BRIEF_S = 0.1
WITHIN_S = 0.8


async def _fetch(sock, **bounds):
    with socket.socket() as raw:
        connection = ClientConnection(raw=raw, **bounds)
        connection.sock = sock
        await connection.exchange(HEALTH, host='a')


async def _answer_without_end(connection, request):
    await connection.send(CHUNKED)
    while True:
        await connection.send(CHUNK)


def _noting(results):
    async def finished(target_id, is_answered):  # noqa: WPS430
        results.append((target_id, is_answered))

    return finished


@pytest.mark.parametrize(
    ('first', 'repeated'),
    [
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (CHUNKED, b'1\r\na\r\n'),
    ],
)
async def test_endless_fetch_does_not_starve_other_tasks(first, repeated):
    """Reading that never waits gives way, so that its time limit holds."""
    with pytest.raises(curio.TaskTimeout):
        async with curio.timeout_after(BRIEF_S):
            await _fetch(FloodingSocket(first, repeated))


@pytest.mark.parametrize('head', [CHUNKED, SIZED, UNFRAMED])
async def test_endless_answer_takes_no_more_memory_than_is_allowed(head):
    sock = FloodingSocket(head, CHUNK)
    with pytest.raises(AnswerLostError, match='too long'):
        await _fetch(sock, answer_bytes=KEPT_BYTES)
    assert sock.received < 2 * KEPT_BYTES


async def test_probe_of_a_target_that_answers_without_end_fails():
    async with serving(_answer_without_end) as address:
        declaration = declare(ServiceShape(targets=1))
        target = next(iter(declaration.targets_by_id.values()))
        target = dataclasses.replace(target, address=str(address))
        results: list[tuple[TargetId, bool]] = []
        prober = Prober(on_result=_noting(results))
        await prober.probe(
            [target.target_id],
            dataclasses.replace(
                declaration, targets_by_id={target.target_id: target}
            ),
        )
        async with curio.timeout_after(WITHIN_S):
            while not results:
                await curio.sleep(BRIEF_S)
    assert results == [(target.target_id, False)]

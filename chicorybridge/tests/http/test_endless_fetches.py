"""Endless answers to requests that the fleet itself sends."""

import dataclasses
import socket

import curio
import pytest

from chicorybridge.common.identities import TargetId
from chicorybridge.control.probers import Prober
from chicorybridge.http.clients import ClientConnection
from chicorybridge.http.servers import AnswerLostError, Request
from chicorybridge.tests.http.floods import FloodingSocket
from chicorybridge.tests.serving import serving
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare

HEALTH = Request(method='GET', path='/health')
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
SIZED = b'HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n'
CLOSE_DELIMITED = b'HTTP/1.1 200 OK\r\n\r\n'
CHUNK = b'1000\r\n%b\r\n' % (b'x' * 4096)
MAX_BYTES = 256 * 1024
INTERVAL_S = 0.1
TIMEOUT_S = 0.8


async def _fetch(sock, **limits):
    with socket.socket() as raw:
        connection = ClientConnection(raw=raw, **limits)
        connection.sock = sock
        await connection.exchange(HEALTH, host='a')


async def _answer_endlessly(connection, request):
    await connection.send(CHUNKED)
    while True:
        await connection.send(CHUNK)


def _record_in(results):
    async def finished(target_id, succeeded):  # noqa: WPS430
        results.append((target_id, succeeded))

    return finished


@pytest.mark.parametrize(
    ('first', 'repeated'),
    [
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (CHUNKED, b'1\r\na\r\n'),
    ],
)
async def test_endless_fetch_does_not_block_other_tasks(first, repeated):
    """Reads that never block still yield, so that the timeout takes effect."""
    with pytest.raises(curio.TaskTimeout):
        async with curio.timeout_after(INTERVAL_S):
            await _fetch(FloodingSocket(first, repeated))


@pytest.mark.parametrize('head', [CHUNKED, SIZED, CLOSE_DELIMITED])
async def test_endless_answer_is_an_error_at_the_size_limit(head):
    sock = FloodingSocket(head, CHUNK)
    with pytest.raises(AnswerLostError, match='exceeds the size limit'):
        await _fetch(sock, max_answer_bytes=MAX_BYTES)
    assert sock.received_bytes < 2 * MAX_BYTES


async def test_probe_fails_if_the_answer_is_endless():
    async with serving(_answer_endlessly) as address:
        declaration = declare(ServiceShape(targets=1))
        target = next(iter(declaration.targets_by_id.values()))
        target = dataclasses.replace(target, address=str(address))
        results: list[tuple[TargetId, bool]] = []
        prober = Prober(on_result=_record_in(results))
        await prober.probe(
            [target.target_id],
            dataclasses.replace(
                declaration, targets_by_id={target.target_id: target}
            ),
        )
        async with curio.timeout_after(TIMEOUT_S):
            while not results:
                await curio.sleep(INTERVAL_S)
    assert results == [(target.target_id, False)]

"""Reuse of a connection from a caller after an answer."""

import socket

import curio
import pytest

from chicorybridge.common.clocks import Clock
from chicorybridge.http.caller_exchanges import CallerExchange

GET = b'GET / HTTP/1.1\r\nhost: fleet\r\n\r\n'
EMPTY = b'POST / HTTP/1.1\r\nhost: fleet\r\ncontent-length: 0\r\n\r\n'
UNREAD = b'POST / HTTP/1.1\r\nhost: fleet\r\ncontent-length: 5\r\n\r\n'


@pytest.mark.parametrize(
    ('request_bytes', 'reusable'), [(GET, True), (EMPTY, True), (UNREAD, False)]
)
async def test_connection_is_reusable_if_no_body_is_unread(
    request_bytes, reusable
):
    """A request without a body leaves no unread bytes."""
    caller, accepted = socket.socketpair()
    exchange = CallerExchange(sock=curio.io.Socket(accepted), clock=Clock())
    caller.sendall(request_bytes)
    await exchange.next_request()
    await exchange.answer(status=200, headers=[], body=b'')
    assert exchange.next_cycle() is reusable
    await exchange.close()
    caller.close()

"""HTTP servers for tests, run in the event loop of the test."""

import contextlib
from collections.abc import AsyncIterator

import curio

from chicorybridge.common import sockets
from chicorybridge.common.addresses import Address
from chicorybridge.http.servers import Handler, Server

STOP_TIMEOUT_MS = 1000


@contextlib.asynccontextmanager
async def serving(handler: Handler) -> AsyncIterator[Address]:
    """Serve `handler` on a loopback port; yield the address."""
    listener = sockets.listen('127.0.0.1:0')
    host, port = listener.getsockname()
    server = Server(listener=listener, handler=handler)
    task = await curio.spawn(server.run)
    try:
        yield Address(host=host, port=port)
    finally:
        await task.cancel()
        await server.stop(timeout_ms=STOP_TIMEOUT_MS)

"""A request that arrives just before `Server.stop` is called."""

import curio

from chicorybridge.common import sockets
from chicorybridge.http.servers import (
    Request,
    Response,
    Server,
    ServerConnection,
)
from chicorybridge.tests.hosts.deployments import on_curio, until

REQUEST = b'GET /health HTTP/1.1\r\nHost: quotes.example\r\n\r\n'
TIMEOUT_MS = 2000


async def _answer_late(connection: ServerConnection, request: Request) -> None:
    await curio.sleep(0.05)
    await connection.respond(Response(status=200))


@on_curio
async def test_request_that_arrives_before_a_stop_is_answered():
    listener = sockets.listen('127.0.0.1:0')
    server = Server(listener=listener, handler=_answer_late)
    accepting = await curio.spawn(server.run)
    sock = await sockets.connect(sockets.bound_address(listener))
    await until(lambda: server.connection_count)
    await curio.sleep(0.05)
    await accepting.cancel()
    # The request arrives now, but its task runs only after this one yields.
    sock._socket.send(REQUEST)
    await curio.sleep(0)
    await server.stop(timeout_ms=TIMEOUT_MS)
    answer = await sock.recv(65536)
    assert answer.startswith(b'HTTP/1.1 200 ')

"""The small server of whole messages: its stop meets a request."""

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
WITHIN_MS = 2000


async def _work(connection: ServerConnection, request: Request) -> None:
    await curio.sleep(0.05)
    await connection.respond(Response(status=200))


@on_curio
async def test_request_that_meets_the_stop_of_a_server_is_answered():
    listener = sockets.listen('127.0.0.1:0')
    server = Server(listener=listener, handler=_work)
    accepting = await curio.spawn(server.run)
    sock = await sockets.connect(sockets.bound_address(listener))
    await until(lambda: server.connection_count)
    await curio.sleep(0.05)
    await accepting.cancel()
    # Arrives in this turn of the loop; its task is due after this one.
    sock._socket.send(REQUEST)
    await curio.sleep(0)
    await server.stop(timeout_ms=WITHIN_MS)
    answer = await sock.recv(65536)
    assert answer.startswith(b'HTTP/1.1 200 ')

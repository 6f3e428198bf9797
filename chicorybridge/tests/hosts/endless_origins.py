"""A target whose answers never end."""

import dataclasses

import curio

from chicorybridge.http.servers import Request, ServerConnection
from chicorybridge.tests.hosts.deployments import Origin


@dataclasses.dataclass(kw_only=True)
class EndlessOrigin(Origin):
    """Sends `first`, then `repeated` until the host closes the connection.

    `%(id)b` in `first` is replaced by the request id.
    """

    first: bytes = b''
    repeated: bytes = b''
    pause_s: float = 0.002
    closed: int = 0

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request without end."""
        await connection.read_body()
        self.runs += 1
        request_id = request.headers_by_name['x-request-id'].encode()
        try:
            await self._flood(connection, request_id)
        except OSError:
            self.closed += 1
            raise

    async def _flood(
        self, connection: ServerConnection, request_id: bytes
    ) -> None:
        await connection.send(self.first % {b'id': request_id})
        while True:
            await curio.sleep(self.pause_s)
            await connection.send(self.repeated)

"""The platform of a run: targets that record requests, and the store."""

import dataclasses
import json
import zlib
from typing import Any

import curio

from chicorybridge.common import sockets
from chicorybridge.http.servers import (
    CallerDisconnectedError,
    Request,
    Response,
    Server,
    ServerConnection,
)
from chicorybridge.tests.platform.row_stores import RowStore
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    server_row,
)
from chicorybridge.tests.stops.breaches import TIMEOUT_S_BY_KIND
from chicorybridge.tests.stops.plans import RequestKind
from chicorybridge.tests.stops.records import Record, TargetRun, now, payload

SLOTS_PER_TARGET = 60
ADDED_PREFIX = '/added/'


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordingTarget:
    """A healthy target that answers after the time in `X-Work-Ms`."""

    target_id: str
    record: Record

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Record one request and answer it unless the host disconnects."""
        headers = request.headers_by_name
        request_id = headers.get('x-request-id', '')
        run = TargetRun(target_id=self.target_id, started_at=now())
        self.record.runs_by_request_id[request_id].append(run)
        run.body_crc = zlib.crc32(await connection.read_body())
        connected = await connection.stays_connected(
            for_ms=int(headers['x-work-ms'])
        )
        run.ended_at = now()
        run.aborted = not connected
        if run.aborted:
            raise CallerDisconnectedError
        response = Response(
            status=200,
            headers_by_name={
                'X-Request-Id': request_id,
                'X-Server-Signature': self.target_id,
            },
            body=payload(request_id, int(headers['x-answer-bytes'])),
        )
        await connection.respond(response)


class Platform:
    """The store and the targets of a run."""

    def __init__(self, *, record: Record, tasks: curio.TaskGroup) -> None:
        """Spawn the servers in `tasks`; targets write to `record`."""
        self._record = record
        self._tasks = tasks
        self._store = RowStore()
        self._version = 0

    async def start(self, *, target_count: int, idle_timeout_s: float) -> str:
        """Start the targets and the store; return the address of the store."""
        for number in range(target_count):
            target_id = f'i-{number}'
            target = RecordingTarget(target_id=target_id, record=self._record)
            address = await self._serve(target.answer)
            entry = server_row(address=address, capacity=SLOTS_PER_TARGET)
            self._store.put('servers', target_id, entry)
        self.configure(idle_timeout_s=idle_timeout_s)
        return await self._serve(self._store.answer)

    def configure(self, *, idle_timeout_s: float) -> None:
        """Store the next configuration version with this idle timeout.

        Every second version has one more route and longer timeouts.
        """
        self._version += 1
        routes = _routes(with_added=self._version % 2 == 0)
        version = '{0:08x}'.format(self._version)
        document = json.loads(configuration_row(*routes, version=version))
        document['limits']['idle_timeout_s'] = idle_timeout_s
        self._store.put('op', 'config', json.dumps(document).encode())

    async def _serve(self, handler: Any) -> str:
        listener = sockets.listen('127.0.0.1:0')
        server = Server(listener=listener, handler=handler)
        await self._tasks.spawn(server.run)
        return sockets.bound_address(listener)


def _routes(*, with_added: bool) -> list[dict[str, Any]]:
    extra_timeout_s = 0.5 if with_added else 0
    routes = [
        route(
            name=kind.name,
            prefix=kind.value,
            route_type=kind.route_type,
            timeout_s=TIMEOUT_S_BY_KIND[kind] + extra_timeout_s,
        )
        for kind in RequestKind
    ]
    if with_added:
        routes.append(route(name='added', prefix=ADDED_PREFIX))
    return routes

"""Targets that tell what ran, and the store that names them."""

import dataclasses
import json
import zlib
from typing import Any

import curio

from chicorybridge.common import sockets
from chicorybridge.http.servers import (
    CallerGoneError,
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
from chicorybridge.tests.stops.plans import Kind
from chicorybridge.tests.stops.records import Record, TargetRun, now, payload
from chicorybridge.tests.stops.breaches import TIMEOUT_S_BY_KIND

SLOTS = 60
ADDED = '/added/'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Origin:
    """A sound target that works for as long as a request says."""

    target_id: str
    record: Record

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        headers = request.headers_by_name
        request_id = headers.get('x-request-id', '')
        run = TargetRun(target_id=self.target_id, began_at=now())
        self.record.runs_by_id[request_id].append(run)
        run.body_crc = zlib.crc32(await connection.read_body())
        stays = await connection.stays_connected(
            for_ms=int(headers['x-work-ms'])
        )
        run.ended_at = now()
        run.cut = not stays
        if run.cut:
            raise CallerGoneError
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
        """Serve as tasks of `tasks`."""
        self._record = record
        self._tasks = tasks
        self._store = RowStore()
        self._version = 0

    async def start(self, *, targets: int, idle_s: float) -> str:
        """Start and return the address of the store."""
        for serial in range(targets):
            target_id = f'i-{serial}'
            origin = Origin(target_id=target_id, record=self._record)
            address = await self._serve(origin.answer)
            entry = server_row(address=address, capacity=SLOTS)
            self._store.put('servers', target_id, entry)
        self.configure(idle_s=idle_s)
        return await self._serve(self._store.answer)

    def configure(self, *, idle_s: float) -> None:
        """Write another configuration."""
        self._version += 1
        routes = _routes(added=self._version % 2 == 0)
        version = '{0:08x}'.format(self._version)
        document = json.loads(configuration_row(*routes, version=version))
        document['limits']['idle_timeout_s'] = idle_s
        self._store.put('op', 'config', json.dumps(document).encode())

    async def _serve(self, handler: Any) -> str:
        listener = sockets.listen('127.0.0.1:0')
        server = Server(listener=listener, handler=handler)
        await self._tasks.spawn(server.run)
        return sockets.bound_address(listener)


def _routes(*, added: bool) -> list[dict[str, Any]]:
    longer_s = 0.5 if added else 0
    routes = [
        route(
            name=kind.name,
            prefix=kind.value,
            route_type=kind.route_type,
            timeout_s=TIMEOUT_S_BY_KIND[kind] + longer_s,
        )
        for kind in Kind
    ]
    if added:
        routes.append(route(name='added', prefix=ADDED))
    return routes

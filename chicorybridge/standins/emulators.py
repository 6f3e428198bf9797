"""The stand-in for a target; `docs/standins.md` is its interface."""

import dataclasses
import hashlib
import json
import math
import os
import random
from http import HTTPStatus
from types import MappingProxyType
from urllib.parse import urlsplit

from chicorybridge.common.clocks import Clock
from chicorybridge.http.servers import Request, Response, ServerConnection
from chicorybridge.standins.echoes import (
    IDEMPOTENCY_KEY,
    Upload,
    make_document,
    make_echo,
    read_number,
)
from chicorybridge.standins.impairments import (
    EmulatorKnobs,
    Fault,
    Impairments,
    Work,
)
from chicorybridge.standins.platforms import MALFORMED, SILENCE_MS
from chicorybridge.standins.slots import Slots
from chicorybridge.standins.tallies import History, Snapshot, Tally

HEALTH = '/health'
LOAD = '/load'
KNOBS = '/standin/knobs'
COUNTS = '/standin/counts'

# Headers of callers, in lower case as they arrive.
DEADLINE = 'chicorybridge-deadline-ms'
ZONE = 'chicorybridge-zone'

NOT_RUN = ('Chicorybridge-Outcome', 'not-run')
DRAINING = ('Chicorybridge-Draining', 'true')

# Exit status after a request that crashes the process (EX_SOFTWARE).
CRASH_STATUS = 70

STATUS_BY_FAULT = MappingProxyType(
    {
        Fault.failure: HTTPStatus.INTERNAL_SERVER_ERROR,
        Fault.caller_error: HTTPStatus.NOT_FOUND,
    }
)


class TargetEmulator:
    """Answer any path like a server with few slots and some faults."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        knobs: EmulatorKnobs,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start idle; `name` and `zone` are told in answers."""
        self.knobs = knobs
        self.tally = Tally(clock=clock)
        self._origin = {'target': name, 'zone': zone}
        self._clock = clock
        self._impairments = Impairments(started_at=clock.now(), rng=rng)
        self._slots = Slots()
        self._history = History()
        # Connections up to this serial number stay silent.
        self._frozen_serial = 0
        self._newest_serial = 0
        self._snap()

    async def handle(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request, with the faults that the knobs ask for."""
        self._newest_serial = max(self._newest_serial, connection.number)
        path = urlsplit(request.path).path
        if path in {KNOBS, COUNTS}:
            body = await connection.read_body()
            await connection.respond(self._operate(path, request, body))
            return
        if connection.number <= self._frozen_serial:
            await _stay_silent(connection)
            return
        if connection.open_count > self.knobs.connections:
            connection.closing = True
            return
        if path in {HEALTH, LOAD}:
            await self._probe(connection, path)
            return
        await self._work(connection, request, path)

    def _operate(self, path: str, request: Request, body: bytes) -> Response:
        if path == COUNTS:
            return make_document(self.tally.document())
        if request.method == 'POST':
            try:
                self._turn(self.knobs.turned(json.loads(body)))
            except MALFORMED as error:
                return make_document(
                    {'detail': str(error)}, status=HTTPStatus.BAD_REQUEST
                )
        return make_document(dataclasses.asdict(self.knobs))

    def _turn(self, knobs: EmulatorKnobs) -> None:
        if knobs.freeze_connections != self.knobs.freeze_connections:
            frozen = knobs.freeze_connections
            self._frozen_serial = self._newest_serial if frozen else 0
        self.knobs = knobs
        self.tally.turn_knobs()
        self._snap()

    async def _probe(self, connection: ServerConnection, path: str) -> None:
        if self.knobs.silent_probes:
            await _stay_silent(connection)
            return
        with self._slots:
            stays = await connection.stays_connected(for_ms=self.knobs.probe_ms)
        if stays:
            respond = self._health if path == HEALTH else self._load
            await connection.respond(respond())

    def _health(self) -> Response:
        knobs = self.knobs
        shown = self._history.as_of(self._clock.now() - knobs.health_lag_ms)
        leaving = shown.draining and not knobs.health_misleads
        if not leaving:
            return make_document({'status': 'ok'})
        return make_document(
            {'status': 'draining'},
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers=[DRAINING],
        )

    def _load(self) -> Response:
        knobs = self.knobs
        shown = self._history.as_of(self._clock.now() - knobs.load_lag_ms)
        busy = 0 if knobs.load_misleads else shown.in_flight + shown.queued
        return make_document({'in_flight': busy, 'slots': knobs.slots})

    async def _work(
        self, connection: ServerConnection, request: Request, path: str
    ) -> None:
        self.tally.arrive()
        now = self._clock.now()
        if self._slots.is_full(slots=self.knobs.slots, queue=self.knobs.queue):
            await self._shed(connection, request)
            return
        upload = await _receive(connection)
        work = Work(
            path=path,
            body_bytes=upload.size,
            zone=request.headers_by_name.get(ZONE, ''),
            source=connection.caller_ip,
        )
        fault = self._impairments.draw(self.knobs, work, now=now)
        if fault is Fault.shed:
            await self._shed(connection, request)
            return
        if not await self._slots.wait(connection, slots=self.knobs.slots):
            self.tally.end('cancelled')
            return
        with self._slots:
            self._snap()
            await self._run(connection, request, work, upload, fault)
        self._snap()

    async def _run(
        self,
        connection: ServerConnection,
        request: Request,
        work: Work,
        upload: Upload,
        fault: Fault,
    ) -> None:
        now = self._clock.now()
        left_ms = read_number(request.headers_by_name.get(DEADLINE), math.inf)
        left_ms -= now - connection.received_at
        if left_ms <= 0:
            await self._shed(connection, request)
            return
        self.tally.begin(key=request.headers_by_name.get(IDEMPOTENCY_KEY, ''))
        if fault is Fault.crash:
            os._exit(CRASH_STATUS)
        if fault is Fault.silence:
            await _stay_silent(connection)
            return
        service_ms = self._impairments.service_ms(self.knobs, work, now=now)
        if not await connection.stays_connected(
            for_ms=min(service_ms, left_ms)
        ):
            self.tally.end('cancelled')
            return
        if left_ms < service_ms:
            self.tally.end('expired')
            expired = Response(status=HTTPStatus.GATEWAY_TIMEOUT)
            await connection.respond(expired, method=request.method)
            return
        await self._finish(connection, request, upload, fault)

    async def _finish(
        self,
        connection: ServerConnection,
        request: Request,
        upload: Upload,
        fault: Fault,
    ) -> None:
        if upload.size:
            self.tally.bytes_by_digest[upload.digest] = upload.size
        response = make_echo(
            request,
            upload,
            status=STATUS_BY_FAULT.get(fault, HTTPStatus.OK),
            origin=self._origin,
            headers=self._draining(),
        )
        encoded = connection.encode(response, method=request.method)
        if fault is Fault.cut:
            connection.closing = True
            encoded = encoded[: len(encoded) // 2]
        if fault is Fault.doubled:
            encoded += encoded
        self.tally.end(fault.value)
        await connection.send(encoded)

    async def _shed(
        self, connection: ServerConnection, request: Request
    ) -> None:
        self.tally.end('shed')
        headers = dict([NOT_RUN, *self._draining()])
        headers['Retry-After'] = str(self.knobs.retry_after_s)
        shed = Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, headers_by_name=headers
        )
        await connection.respond(shed, method=request.method)

    def _draining(self) -> list[tuple[str, str]]:
        return [DRAINING] if self.knobs.draining else []

    def _snap(self) -> None:
        self._history.add(
            Snapshot(
                at=self._clock.now(),
                in_flight=self._slots.running,
                queued=self._slots.queued,
                draining=self.knobs.draining,
            )
        )


async def _receive(connection: ServerConnection) -> Upload:
    digest = hashlib.sha256()
    size = 0
    async for chunk in connection.chunks():
        digest.update(chunk)
        size += len(chunk)
    return Upload(digest=digest.hexdigest(), size=size)


async def _stay_silent(connection: ServerConnection) -> None:
    await connection.stays_connected(for_ms=SILENCE_MS)
    connection.closing = True

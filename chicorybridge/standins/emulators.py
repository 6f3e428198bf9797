"""The stand-in for a target; `docs/standins.md` describes its interface."""

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
    IDEMPOTENCY_KEY_HEADER,
    Upload,
    make_json_answer,
    make_echo,
    parse_number,
)
from chicorybridge.standins.impairments import (
    EmulatorKnobs,
    Fault,
    Impairments,
    RequestTraits,
)
from chicorybridge.standins.platforms import (
    MALFORMED_ERRORS,
    UNANSWERED_HOLD_MS,
)
from chicorybridge.standins.slots import Slots
from chicorybridge.standins.tallies import Snapshot, SnapshotHistory, Tally

HEALTH_PATH = '/health'
LOAD_PATH = '/load'
KNOBS_PATH = '/standin/knobs'
COUNTS_PATH = '/standin/counts'

# Request headers, in lower case as the server returns them.
DEADLINE_HEADER = 'chicorybridge-deadline-ms'
ZONE_HEADER = 'chicorybridge-zone'

NOT_RUN_HEADER = ('Chicorybridge-Outcome', 'not-run')
DRAINING_HEADER = ('Chicorybridge-Draining', 'true')

# Exit status after a request that crashes the process (EX_SOFTWARE).
CRASH_EXIT_STATUS = 70

STATUS_BY_FAULT = MappingProxyType(
    {
        Fault.failure: HTTPStatus.INTERNAL_SERVER_ERROR,
        Fault.caller_error: HTTPStatus.NOT_FOUND,
    }
)


class TargetEmulator:
    """Answer any path like a server with few slots and with faults."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        knobs: EmulatorKnobs,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start idle; answers contain `name` and `zone`."""
        self.knobs = knobs
        self.tally = Tally(clock=clock)
        self._target_identity = {'target': name, 'zone': zone}
        self._clock = clock
        self._impairments = Impairments(started_at=clock.now(), rng=rng)
        self._slots = Slots()
        self._history = SnapshotHistory()
        # Connections are numbered in the order in which they open. Those up
        # to this number get no answers: they were open when a change of the
        # knobs froze them.
        self._frozen_number = 0
        self._newest_number = 0
        self._record_snapshot()

    async def handle(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request, with the faults that the knobs set."""
        self._newest_number = max(self._newest_number, connection.number)
        path = urlsplit(request.path).path
        if path in {KNOBS_PATH, COUNTS_PATH}:
            body = await connection.read_body()
            await connection.respond(self._answer_admin(path, request, body))
            return
        if connection.number <= self._frozen_number:
            await _leave_unanswered(connection)
            return
        if connection.open_count > self.knobs.connections:
            connection.closing = True
            return
        if path in {HEALTH_PATH, LOAD_PATH}:
            await self._answer_probe(connection, path)
            return
        await self._handle_work(connection, request, path)

    def _answer_admin(
        self, path: str, request: Request, body: bytes
    ) -> Response:
        if path == COUNTS_PATH:
            return make_json_answer(self.tally.document())
        if request.method == 'POST':
            try:
                self._set_knobs(self.knobs.updated(json.loads(body)))
            except MALFORMED_ERRORS as error:
                return make_json_answer(
                    {'detail': str(error)}, status=HTTPStatus.BAD_REQUEST
                )
        return make_json_answer(dataclasses.asdict(self.knobs))

    def _set_knobs(self, knobs: EmulatorKnobs) -> None:
        if knobs.freeze_connections != self.knobs.freeze_connections:
            is_frozen = knobs.freeze_connections
            self._frozen_number = self._newest_number if is_frozen else 0
        self.knobs = knobs
        self.tally.reset_arrivals()
        self._record_snapshot()

    async def _answer_probe(
        self, connection: ServerConnection, path: str
    ) -> None:
        if self.knobs.silent_probes:
            await _leave_unanswered(connection)
            return
        with self._slots:
            stays = await connection.stays_connected(for_ms=self.knobs.probe_ms)
        if stays:
            respond = (
                self._health_answer
                if path == HEALTH_PATH
                else self._load_answer
            )
            await connection.respond(respond())

    def _health_answer(self) -> Response:
        knobs = self.knobs
        snapshot = self._history.as_of(self._clock.now() - knobs.health_lag_ms)
        draining = snapshot.draining and not knobs.health_misleads
        if not draining:
            return make_json_answer({'status': 'ok'})
        return make_json_answer(
            {'status': 'draining'},
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers=[DRAINING_HEADER],
        )

    def _load_answer(self) -> Response:
        knobs = self.knobs
        snapshot = self._history.as_of(self._clock.now() - knobs.load_lag_ms)
        busy = (
            0 if knobs.load_misleads else snapshot.in_flight + snapshot.queued
        )
        return make_json_answer({'in_flight': busy, 'slots': knobs.slots})

    async def _handle_work(
        self, connection: ServerConnection, request: Request, path: str
    ) -> None:
        self.tally.record_arrival()
        now = self._clock.now()
        if self._slots.is_queue_full(
            slots=self.knobs.slots, queue=self.knobs.queue
        ):
            await self._send_shed_answer(connection, request)
            return
        upload = await _receive_upload(connection)
        traits = RequestTraits(
            path=path,
            body_bytes=upload.size,
            zone=request.headers_by_name.get(ZONE_HEADER, ''),
            caller_ip=connection.caller_ip,
        )
        fault = self._impairments.draw_fault(self.knobs, traits, now=now)
        if fault is Fault.shed:
            await self._send_shed_answer(connection, request)
            return
        if not await self._slots.wait_for_slot(
            connection, slots=self.knobs.slots
        ):
            self.tally.record_end('cancelled')
            return
        with self._slots:
            self._record_snapshot()
            await self._run_request(connection, request, traits, upload, fault)
        self._record_snapshot()

    async def _run_request(
        self,
        connection: ServerConnection,
        request: Request,
        traits: RequestTraits,
        upload: Upload,
        fault: Fault,
    ) -> None:
        now = self._clock.now()
        remaining_ms = parse_number(
            request.headers_by_name.get(DEADLINE_HEADER), math.inf
        )
        remaining_ms -= now - connection.received_at
        if remaining_ms <= 0:
            await self._send_shed_answer(connection, request)
            return
        self.tally.record_start(
            key=request.headers_by_name.get(IDEMPOTENCY_KEY_HEADER, '')
        )
        if fault is Fault.crash:
            os._exit(CRASH_EXIT_STATUS)
        if fault is Fault.silence:
            await _leave_unanswered(connection)
            return
        service_ms = self._impairments.service_ms(self.knobs, traits, now=now)
        if not await connection.stays_connected(
            for_ms=min(service_ms, remaining_ms)
        ):
            self.tally.record_end('cancelled')
            return
        if remaining_ms < service_ms:
            self.tally.record_end('expired')
            expired = Response(status=HTTPStatus.GATEWAY_TIMEOUT)
            await connection.respond(expired, method=request.method)
            return
        await self._send_answer(connection, request, upload, fault)

    async def _send_answer(
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
            target_identity=self._target_identity,
            headers=self._draining_headers(),
        )
        encoded = connection.encode(response, method=request.method)
        if fault is Fault.cut:
            connection.closing = True
            encoded = encoded[: len(encoded) // 2]
        if fault is Fault.doubled:
            encoded += encoded
        self.tally.record_end(fault.value)
        await connection.send(encoded)

    async def _send_shed_answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        self.tally.record_end('shed')
        headers = dict([NOT_RUN_HEADER, *self._draining_headers()])
        headers['Retry-After'] = str(self.knobs.retry_after_s)
        shed = Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, headers_by_name=headers
        )
        await connection.respond(shed, method=request.method)

    def _draining_headers(self) -> list[tuple[str, str]]:
        return [DRAINING_HEADER] if self.knobs.draining else []

    def _record_snapshot(self) -> None:
        self._history.add(
            Snapshot(
                at=self._clock.now(),
                in_flight=self._slots.running,
                queued=self._slots.queued,
                draining=self.knobs.draining,
            )
        )


async def _receive_upload(connection: ServerConnection) -> Upload:
    digest = hashlib.sha256()
    size = 0
    async for chunk in connection.chunks():
        digest.update(chunk)
        size += len(chunk)
    return Upload(digest=digest.hexdigest(), size=size)


async def _leave_unanswered(connection: ServerConnection) -> None:
    await connection.stays_connected(for_ms=UNANSWERED_HOLD_MS)
    connection.closing = True

"""The stand-in for the platform; `docs/platform.md` has its interface.

Knobs inject its faults: an outage, a delay, transactions that take effect
without an answer, one-way loss of requests or answers of single hosts, and
a host list that lags.
"""

import dataclasses
import hashlib
import json
import random
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.identities import Digest, HostId
from chicorybridge.http.servers import Request, Response, ServerConnection
from chicorybridge.standins.faults import FaultyTables
from chicorybridge.standins.knobs import Knobs
from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage import documents
from chicorybridge.storage.stores import (
    GetObject,
    ListedHost,
    ListHosts,
    PutObject,
    ReadRows,
    ScanRows,
    StoreOutcome,
    StoreReply,
    StoreRequest,
    Transact,
)

# Matches every host in a list of hosts.
ALL_HOSTS = '*'

# How long the connection of an unanswered request stays open.
UNANSWERED_HOLD_MS = 600_000

DEREGISTERED_STATE = 'gone'

STATUS_BY_OUTCOME = MappingProxyType(
    {
        StoreOutcome.done: HTTPStatus.OK,
        StoreOutcome.conflict: HTTPStatus.CONFLICT,
        StoreOutcome.unavailable: HTTPStatus.SERVICE_UNAVAILABLE,
    }
)

# Errors that a malformed document raises while it is decoded.
MALFORMED_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformKnobs(Knobs):
    """Faults of the platform; times in milliseconds, shares from 0 to 1.

    `lost_requests` lists hosts whose requests are dropped without effect;
    `lost_answers` lists hosts whose requests take effect without an
    answer; `*` matches all hosts. A host that does not register again
    within `host_lease_ms` is removed from the host list, which lags by
    `host_lag_ms`.
    """

    outage: bool = False
    delay_ms: float = 0
    unanswered_share: float = 0
    lost_requests: tuple[str, ...] = ()
    lost_answers: tuple[str, ...] = ()
    host_lag_ms: float = 2000
    host_lease_ms: float = 15_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """One registration of a host; `host` is `None` when it deregisters."""

    host_id: HostId
    host: ListedHost | None
    at: Millis


class HostList:
    """The list of hosts, in which registrations appear after a lag."""

    def __init__(self, *, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._registrations: list[Registration] = []
        self._visible_by_id: dict[HostId, Registration] = {}

    def register(self, document: dict[str, Any]) -> None:
        """Record a registration; raise one of `MALFORMED_ERRORS`."""
        host_id = HostId(document['host_id'])
        host = None
        if document['state'] != DEREGISTERED_STATE:
            host = documents.decode_host(document)
        registration = Registration(
            host_id=host_id, host=host, at=self._clock.now()
        )
        self._registrations.append(registration)

    def visible_hosts(self, *, knobs: PlatformKnobs) -> tuple[ListedHost, ...]:
        """Return the hosts that were registered `host_lag_ms` ago."""
        visible_until = self._clock.now() - knobs.host_lag_ms
        while (
            self._registrations and self._registrations[0].at <= visible_until
        ):
            registration = self._registrations.pop(0)
            self._visible_by_id[registration.host_id] = registration
        expired_until = visible_until - knobs.host_lease_ms
        return tuple(
            registration.host
            for registration in self._visible_by_id.values()
            if registration.host and registration.at > expired_until
        )


class PlatformStandin:
    """Serve the interface of the platform from `MemoryTables`."""

    def __init__(
        self, *, tables: MemoryTables, clock: Clock, rng: random.Random
    ) -> None:
        """Start without faults; `tables` contain the stored data."""
        self.knobs = PlatformKnobs()
        self._tables = tables
        self._store = FaultyTables(tables=tables, rng=rng)
        self._hosts = HostList(clock=clock)
        self._counts_by_request: dict[str, int] = {}

    async def handle(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request, with the faults that the knobs set."""
        body = await connection.read_body()
        if request.path in {documents.KNOBS_PATH, documents.COUNTS_PATH}:
            await connection.respond(self._answer_admin(request, body))
            return
        await self._answer_host(connection, request, body)

    async def _answer_host(
        self, connection: ServerConnection, request: Request, body: bytes
    ) -> None:
        host = request.headers_by_name.get(documents.HOST_HEADER.lower(), '')
        if not await connection.stays_connected(for_ms=self.knobs.delay_ms):
            return
        if _includes_host(self.knobs.lost_requests, host):
            await connection.stays_connected(for_ms=UNANSWERED_HOLD_MS)
            connection.closing = True
            return
        response = self._execute(request, body)
        if _includes_host(self.knobs.lost_answers, host):
            await connection.stays_connected(for_ms=UNANSWERED_HOLD_MS)
            connection.closing = True
            return
        if response is None:
            connection.closing = True
            return
        await connection.respond(response)

    def _answer_admin(self, request: Request, body: bytes) -> Response:
        if request.path == documents.COUNTS_PATH:
            return _json_answer(HTTPStatus.OK, self._counts_by_request)
        if request.method == 'POST':
            try:
                self.knobs = self.knobs.updated(json.loads(body))
            except MALFORMED_ERRORS as error:
                return _json_answer(
                    HTTPStatus.BAD_REQUEST, {'detail': str(error)}
                )
            self._store.outage = self.knobs.outage
            self._store.unanswered_share = self.knobs.unanswered_share
        return _json_answer(HTTPStatus.OK, dataclasses.asdict(self.knobs))

    def _execute(self, request: Request, body: bytes) -> Response | None:
        if request.path == documents.HOSTS_PATH and request.method == 'POST':
            return self._register(body)
        try:
            store_request = decode_request(request, body)
        except MALFORMED_ERRORS as error:
            return _json_answer(HTTPStatus.BAD_REQUEST, {'detail': str(error)})
        if store_request is None:
            return _json_answer(
                HTTPStatus.NOT_FOUND, {'detail': 'no such path'}
            )
        kind = type(store_request).__name__
        count = self._counts_by_request.get(kind, 0)
        self._counts_by_request[kind] = count + 1
        if isinstance(store_request, ListHosts):
            hosts = self._hosts.visible_hosts(knobs=self.knobs)
            self._tables.hosts_by_id = {host.host_id: host for host in hosts}
        return encode_reply(store_request, self._store.execute(store_request))

    def _register(self, body: bytes) -> Response:
        if self.knobs.outage:
            return _json_answer(
                HTTPStatus.SERVICE_UNAVAILABLE, {'detail': 'outage'}
            )
        try:
            self._hosts.register(json.loads(body))
        except MALFORMED_ERRORS as error:
            return _json_answer(HTTPStatus.BAD_REQUEST, {'detail': str(error)})
        return Response(status=HTTPStatus.NO_CONTENT)


def decode_request(request: Request, body: bytes) -> StoreRequest | None:
    """Return the store request; `None` for an unknown method or path.

    Raise one of `MALFORMED_ERRORS` for a malformed body.
    """
    split = urlsplit(request.path)
    match (request.method, split.path):
        case ('POST', documents.TRANSACTIONS_PATH):
            return documents.decode_transaction(json.loads(body))
        case ('POST', documents.READS_PATH):
            return documents.decode_reads(json.loads(body))
        case ('GET', documents.HOSTS_PATH):
            return ListHosts()
    if split.path.startswith(documents.OBJECTS_PATH):
        digest = Digest(split.path.removeprefix(documents.OBJECTS_PATH))
        return _decode_object(request.method, digest, body)
    if request.method == 'GET' and split.path.startswith(documents.TABLES_PATH):
        prefix = parse_qs(split.query).get('prefix', [''])[0]
        table = unquote(split.path.removeprefix(documents.TABLES_PATH))
        return ScanRows(table=table, prefix=prefix)
    return None


def encode_reply(
    store_request: StoreRequest, reply: StoreReply
) -> Response | None:
    """Return the answer to a store request; `None` if the reply is lost."""
    if reply.outcome is StoreOutcome.unanswered:
        return None
    status = STATUS_BY_OUTCOME[reply.outcome]
    if reply.outcome is StoreOutcome.unavailable:
        return _json_answer(status, {'detail': 'outage'})
    match store_request:
        case PutObject():
            return Response(status=HTTPStatus.NO_CONTENT)
        case GetObject():
            return _object_answer(reply.body)
        case ListHosts():
            return _json_answer(status, documents.encode_hosts(reply.hosts))
        case Transact() | ReadRows() | ScanRows():
            return _json_answer(status, documents.encode_rows(reply.rows))


def _decode_object(
    method: str, digest: Digest, body: bytes
) -> StoreRequest | None:
    if method == 'GET':
        return GetObject(digest=digest)
    if method != 'PUT':
        return None
    if hashlib.sha256(body).hexdigest() != digest:
        raise ValueError(
            'the SHA-256 of the body is not the digest in the path'
        )
    return PutObject(digest=digest, body=body)


def _object_answer(body: bytes | None) -> Response:
    if body is None:
        return _json_answer(HTTPStatus.NOT_FOUND, {'detail': 'no such object'})
    return Response(
        status=HTTPStatus.OK,
        headers_by_name={documents.CONTENT_TYPE_HEADER: documents.BINARY_TYPE},
        body=body,
    )


def _includes_host(hosts: tuple[str, ...], host: str) -> bool:
    return host in hosts or ALL_HOSTS in hosts


def _json_answer(status: int, document: Any) -> Response:
    return Response(
        status=status,
        headers_by_name={documents.CONTENT_TYPE_HEADER: documents.JSON_TYPE},
        body=documents.encode_document(document),
    )

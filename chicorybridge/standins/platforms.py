"""The stand-in for the platform; `docs/platform.md` is its interface.

Knobs bring about its faults: an outage, a delay, transactions that take
effect and are never answered, links that carry only one way, and a host
list that lags.
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

# Stands for every host in a list of hosts.
EVERY_HOST = '*'

# How long a request without an answer holds its connection.
SILENCE_MS = 600_000

GONE = 'gone'

STATUS_BY_OUTCOME = MappingProxyType(
    {
        StoreOutcome.done: HTTPStatus.OK,
        StoreOutcome.conflict: HTTPStatus.CONFLICT,
        StoreOutcome.unavailable: HTTPStatus.SERVICE_UNAVAILABLE,
    }
)

# What a malformed document raises.
MALFORMED = (ValueError, KeyError, TypeError, AttributeError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformKnobs(Knobs):
    """Faults of the platform; times in milliseconds, shares from 0 to 1.

    `lost_requests` and `lost_answers` name the hosts whose requests do
    not arrive, or whose answers do not come back though the request
    takes effect; `*` stands for all. A host that does not renew within
    `host_lease_ms` falls off the list, which lags by `host_lag_ms`.
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
    """A host's last word; `host` is `None` once it left."""

    host_id: HostId
    host: ListedHost | None
    at: Millis


class HostList:
    """The list of hosts, which shows registrations after a lag."""

    def __init__(self, *, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._registrations: list[Registration] = []
        self._shown_by_id: dict[HostId, Registration] = {}

    def register(self, document: dict[str, Any]) -> None:
        """Take in a host's state; raise one of `MALFORMED`."""
        host_id = HostId(document['host_id'])
        host = None
        if document['state'] != GONE:
            host = documents.decode_host(document)
        registration = Registration(
            host_id=host_id, host=host, at=self._clock.now()
        )
        self._registrations.append(registration)

    def shown(self, *, knobs: PlatformKnobs) -> tuple[ListedHost, ...]:
        """Return the hosts as they were `host_lag_ms` ago."""
        as_of = self._clock.now() - knobs.host_lag_ms
        while self._registrations and self._registrations[0].at <= as_of:
            registration = self._registrations.pop(0)
            self._shown_by_id[registration.host_id] = registration
        oldest = as_of - knobs.host_lease_ms
        return tuple(
            registration.host
            for registration in self._shown_by_id.values()
            if registration.host and registration.at > oldest
        )


class PlatformStandin:
    """Answer the platform's interface from tables in memory."""

    def __init__(
        self, *, tables: MemoryTables, clock: Clock, rng: random.Random
    ) -> None:
        """Start without faults over `tables`."""
        self.knobs = PlatformKnobs()
        self._tables = tables
        self._store = FaultyTables(tables=tables, rng=rng)
        self._hosts = HostList(clock=clock)
        self._counts_by_request: dict[str, int] = {}

    async def handle(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request, or leave it unanswered as the knobs say."""
        body = await connection.read_body()
        if request.path in {documents.KNOBS_PATH, documents.COUNTS_PATH}:
            await connection.respond(self._operate(request, body))
            return
        await self._answer(connection, request, body)

    async def _answer(
        self, connection: ServerConnection, request: Request, body: bytes
    ) -> None:
        host = request.headers_by_name.get(documents.HOST_HEADER.lower(), '')
        if not await connection.stays_connected(for_ms=self.knobs.delay_ms):
            return
        if _concerns(self.knobs.lost_requests, host):
            await connection.stays_connected(for_ms=SILENCE_MS)
            connection.closing = True
            return
        response = self._carry_out(request, body)
        if _concerns(self.knobs.lost_answers, host):
            await connection.stays_connected(for_ms=SILENCE_MS)
            connection.closing = True
            return
        if response is None:
            connection.closing = True
            return
        await connection.respond(response)

    def _operate(self, request: Request, body: bytes) -> Response:
        if request.path == documents.COUNTS_PATH:
            return _document(HTTPStatus.OK, self._counts_by_request)
        if request.method == 'POST':
            try:
                self.knobs = self.knobs.turned(json.loads(body))
            except MALFORMED as error:
                return _document(HTTPStatus.BAD_REQUEST, {'detail': str(error)})
            self._store.outage = self.knobs.outage
            self._store.unanswered_share = self.knobs.unanswered_share
        return _document(HTTPStatus.OK, dataclasses.asdict(self.knobs))

    def _carry_out(self, request: Request, body: bytes) -> Response | None:
        if request.path == documents.HOSTS_PATH and request.method == 'POST':
            return self._register(body)
        try:
            asked = decode_request(request, body)
        except MALFORMED as error:
            return _document(HTTPStatus.BAD_REQUEST, {'detail': str(error)})
        if asked is None:
            return _document(HTTPStatus.NOT_FOUND, {'detail': 'no such path'})
        name = type(asked).__name__
        count = self._counts_by_request.get(name, 0)
        self._counts_by_request[name] = count + 1
        if isinstance(asked, ListHosts):
            hosts = self._hosts.shown(knobs=self.knobs)
            self._tables.hosts_by_id = {host.host_id: host for host in hosts}
        return encode_reply(asked, self._store.execute(asked))

    def _register(self, body: bytes) -> Response:
        if self.knobs.outage:
            return _document(
                HTTPStatus.SERVICE_UNAVAILABLE, {'detail': 'outage'}
            )
        try:
            self._hosts.register(json.loads(body))
        except MALFORMED as error:
            return _document(HTTPStatus.BAD_REQUEST, {'detail': str(error)})
        return Response(status=HTTPStatus.NO_CONTENT)


def decode_request(request: Request, body: bytes) -> StoreRequest | None:
    """Return the store request; `None` for a path that does not exist."""
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


def encode_reply(asked: StoreRequest, reply: StoreReply) -> Response | None:
    """Return the answer; `None` when it has to stay away."""
    if reply.outcome is StoreOutcome.unanswered:
        return None
    status = STATUS_BY_OUTCOME[reply.outcome]
    if reply.outcome is StoreOutcome.unavailable:
        return _document(status, {'detail': 'outage'})
    match asked:
        case PutObject():
            return Response(status=HTTPStatus.NO_CONTENT)
        case GetObject():
            return _object(reply.body)
        case ListHosts():
            return _document(status, documents.encode_hosts(reply.hosts))
        case Transact() | ReadRows() | ScanRows():
            return _document(status, documents.encode_rows(reply.rows))


def _decode_object(
    method: str, digest: Digest, body: bytes
) -> StoreRequest | None:
    if method == 'GET':
        return GetObject(digest=digest)
    if method != 'PUT':
        return None
    if hashlib.sha256(body).hexdigest() != digest:
        raise ValueError('the body does not have this digest')
    return PutObject(digest=digest, body=body)


def _object(body: bytes | None) -> Response:
    if body is None:
        return _document(HTTPStatus.NOT_FOUND, {'detail': 'no such object'})
    return Response(
        status=HTTPStatus.OK,
        headers_by_name={documents.CONTENT_TYPE_HEADER: documents.BINARY_TYPE},
        body=body,
    )


def _concerns(hosts: tuple[str, ...], host: str) -> bool:
    return host in hosts or EVERY_HOST in hosts


def _document(status: int, document: Any) -> Response:
    return Response(
        status=status,
        headers_by_name={documents.CONTENT_TYPE_HEADER: documents.JSON_TYPE},
        body=documents.encode_document(document),
    )

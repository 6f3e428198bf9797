"""The host of a caller: its entry list, connections, checks and retries."""

import dataclasses
import hashlib
import json
import random
from enum import Enum
from http import HTTPStatus
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common import clocks
from chicorybridge.common.addresses import Address, parse_address
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import (
    AnswerLostError,
    NotSentError,
    Request,
    Response,
)
from chicorybridge.load.experiments import CallerGroup, RequestKind, Via

ENTRIES_PATH = '/chicorybridge/entries'


class CallOutcome(Enum):
    """How a call, or one attempt of it, ended, as seen by the caller."""

    # A complete, undamaged answer to this request with a status of 2xx.
    complete = 'whole'
    # A 2xx answer that is damaged or belongs to another request.
    mismatched = 'mismatched'
    # The answer states that the request was not run.
    not_run = 'not_run'
    # The answer states that it is unknown whether the request was run.
    unknown = 'unknown'
    # No connection was opened, so nothing was sent.
    not_sent = 'not_sent'
    # The request was sent and no complete answer arrived.
    lost = 'lost'
    # An answer with another status below 500, usually 4xx.
    refused = 'refused'
    # Any other answer, usually 5xx.
    failed = 'failed'


# After these outcomes the request was certainly not run.
NOT_RUN_OUTCOMES = frozenset((CallOutcome.not_run, CallOutcome.not_sent))

# After these outcomes the request may or may not have run.
UNCERTAIN_OUTCOMES = frozenset(
    (CallOutcome.unknown, CallOutcome.lost, CallOutcome.failed)
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A finished call with the outcomes of all its attempts, in order.

    `key` and `body_sha256` are empty for a request without idempotency
    key or body.
    """

    key: str
    kind: RequestKind
    body_sha256: str
    outcomes: tuple[CallOutcome, ...]

    @property
    def outcome(self) -> CallOutcome:
        """Return the outcome of the last attempt."""
        return self.outcomes[-1]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreparedRequest:
    """A request that is ready to be sent.

    `name` identifies it to the target; `digest` is the SHA-256 of its body.
    """

    name: str
    key: str
    kind: RequestKind
    request: Request
    digest: str


class EntryList:
    """The addresses to send to, from an entry list that is cached by TTL."""

    def __init__(
        self,
        *,
        group: CallerGroup,
        addresses: tuple[str, ...],
        client: Client,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Use the configured `addresses` until a list has been fetched.

        Later lists are requested from these and from listed addresses.
        """
        self._group = group
        self._configured = [parse_address(address) for address in addresses]
        self._addresses = list(self._configured)
        self._client = client
        self._clock = clock
        self._rng = rng
        self._expires_at = clock.now()
        # The prefix that the fleet issued for idempotency keys of this host.
        self.key_prefix = ''

    async def choose_address(self) -> Address:
        """Return a random address for the next request."""
        await self.refresh()
        return self._rng.choice(self._addresses)

    async def refresh(self) -> None:
        """Request a new list if the current one has expired."""
        if self._group.via is Via.direct:
            return
        if self._clock.now() >= self._expires_at:
            await self._refresh()

    def remove(self, address: Address) -> None:
        """Remove an unreachable address until the next refresh.

        The last address stays.
        """
        if len(self._addresses) > 1 and address in self._addresses:
            self._addresses.remove(address)

    async def _refresh(self) -> None:
        request = Request(method='GET', path=ENTRIES_PATH)
        candidates = list(dict.fromkeys([*self._addresses, *self._configured]))
        self._rng.shuffle(candidates)
        document = None
        while candidates and document is None:
            document = await self._fetch_list(candidates.pop(), request)
        if document is None:
            # No entry answered: the expired list stays in use.
            return
        self.key_prefix = document.get('key_prefix', '')
        self._addresses = [parse_address(text) for text in document['entries']]
        self._expires_at = clocks.Millis(self._clock.now() + document['ttl_ms'])

    async def _fetch_list(
        self, address: Address, request: Request
    ) -> dict[str, Any] | None:
        try:
            response = await self._client.fetch(
                address, request, timeout_ms=settings.LOAD_ENTRIES_TIMEOUT_MS
            )
        except (NotSentError, AnswerLostError):
            return None
        if response.status != HTTPStatus.OK:
            return None
        document = json.loads(response.body)
        return document if document['entries'] else None


class CallerHost:
    """Send requests and check that each gets its own complete answer."""

    def __init__(
        self,
        *,
        name: str,
        group: CallerGroup,
        addresses: tuple[str, ...],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Start without connections.

        `name` starts the names of all requests; `addresses` are those of
        entries or of targets, as the group says.
        """
        self._name = name
        self._group = group
        self._client = Client(max_idle_count=group.workers)
        self._entries = EntryList(
            group=group,
            addresses=addresses,
            client=self._client,
            clock=clock,
            rng=rng,
        )
        self._rng = rng
        self._fillers_by_size = {0: b''}

    async def prepare(
        self, kind: RequestKind, *, number: int
    ) -> PreparedRequest:
        """Build a request with a unique name, which includes `number`."""
        await self._entries.refresh()
        name = f'{self._name}-{number}'
        filler = self._filler_of(kind.body_bytes)
        body = (name.encode() + filler)[: kind.body_bytes]
        prefix = self._entries.key_prefix if self._group.issued_keys else ''
        key = f'{prefix}{name}' if kind.keyed else ''
        return PreparedRequest(
            name=name,
            key=key,
            kind=kind,
            request=_make_request(kind, name, key, body),
            digest=hashlib.sha256(body).hexdigest(),
        )

    async def call(self, prepared: PreparedRequest) -> Call:
        """Send a request and retry it while that is safe."""
        kind = prepared.kind
        outcomes: list[CallOutcome] = []
        while len(outcomes) <= self._group.repeats:
            if outcomes:
                await curio.sleep(
                    clocks.as_seconds(self._group.repeat_after_ms)
                )
            outcomes.append(await self._send_once(prepared))
            if not _may_retry(kind, outcomes[-1]):
                break
        return Call(
            key=prepared.key,
            kind=kind,
            body_sha256=prepared.digest if prepared.request.body else '',
            outcomes=tuple(outcomes),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _send_once(self, prepared: PreparedRequest) -> CallOutcome:
        address = await self._entries.choose_address()
        try:
            response = await self._client.fetch(
                address, prepared.request, timeout_ms=self._group.timeout_ms
            )
        except NotSentError:
            self._entries.remove(address)
            return CallOutcome.not_sent
        except AnswerLostError:
            return CallOutcome.lost
        return classify_answer(
            response, name=prepared.name, digest=prepared.digest
        )

    def _filler_of(self, size: int) -> bytes:
        if size not in self._fillers_by_size:
            self._fillers_by_size[size] = self._rng.randbytes(size)
        return self._fillers_by_size[size]


def _make_request(
    kind: RequestKind, name: str, key: str, body: bytes
) -> Request:
    headers_by_name = {'Chicorybridge-Request': name}
    if key:
        headers_by_name['Idempotency-Key'] = key
    return Request(
        method=kind.method,
        path=kind.path,
        headers_by_name=headers_by_name,
        body=body,
    )


def classify_answer(
    response: Response, *, name: str, digest: str
) -> CallOutcome:
    """Return the outcome of an answer to the request `name`.

    `digest` is the SHA-256 of the body that was sent.
    """
    if HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES:
        if _is_own_answer(response, name=name, digest=digest):
            return CallOutcome.complete
        return CallOutcome.mismatched
    header = response.headers_by_name.get('chicorybridge-outcome', '')
    if header == 'not-run':
        return CallOutcome.not_run
    if header == 'unknown':
        return CallOutcome.unknown
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return CallOutcome.refused
    return CallOutcome.failed


def _is_own_answer(response: Response, *, name: str, digest: str) -> bool:
    header = response.headers_by_name.get('chicorybridge-digest')
    if header != hashlib.sha256(response.body).hexdigest():
        return False
    echo = json.loads(response.body.rstrip(b'.'))
    return (echo['request'], echo['sha256']) == (name, digest)


def _may_retry(kind: RequestKind, outcome: CallOutcome) -> bool:
    if outcome in NOT_RUN_OUTCOMES:
        return True
    return outcome in UNCERTAIN_OUTCOMES and kind.idempotent

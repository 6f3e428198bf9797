"""The project's one client to the platform; see `docs/platform.md`."""

import json
from http import HTTPStatus

from chicorybridge.common.addresses import Address
from chicorybridge.common.identities import HostId
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import (
    AnswerLostError,
    NotSentError,
    Request,
    Response,
)
from chicorybridge.storage.documents import (
    decode_hosts,
    decode_rows,
    encode_host,
    encode_request,
)
from chicorybridge.storage.stores import (
    GetObject,
    ListedHost,
    ListHosts,
    PutObject,
    StoreOutcome,
    StoreReply,
    StoreRequest,
    Transact,
)

DONE_STATUSES = frozenset((HTTPStatus.OK, HTTPStatus.NO_CONTENT))
# The platform did not carry out the request, and says so.
REFUSALS = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class PlatformClient:
    """Carry out store requests over HTTP, and tell truly how they ended."""

    def __init__(
        self, *, address: Address, host_id: HostId, timeout_ms: float
    ) -> None:
        """Ask the platform at `address` in the name of `host_id`."""
        self._address = address
        self._host_id = host_id
        self._timeout_ms = timeout_ms
        self._client = Client()

    async def execute(
        self, request: StoreRequest, *, token: str = ''
    ) -> StoreReply:
        """Return the reply; never raises for a platform that fails.

        A write that was sent and not answered is `unanswered`; a read
        that was not answered wrote nothing and is `unavailable`.
        """
        lost = _lost_outcome(request)
        try:
            response = await self._fetch(
                encode_request(request, host_id=self._host_id)
            )
        except NotSentError:
            return StoreReply(token=token, outcome=StoreOutcome.unavailable)
        except AnswerLostError:
            return StoreReply(token=token, outcome=lost)
        try:
            return _decode_reply(request, response, token=token)
        except (ValueError, KeyError, TypeError):
            return StoreReply(token=token, outcome=lost)

    async def register(self, host: ListedHost) -> bool:
        """Register or renew a host; tell whether the platform confirmed."""
        try:
            response = await self._fetch(encode_host(host))
        except (NotSentError, AnswerLostError):
            return False
        return response.status == HTTPStatus.NO_CONTENT

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _fetch(self, request: Request) -> Response:
        return await self._client.fetch(
            self._address, request, timeout_ms=self._timeout_ms
        )


def _lost_outcome(request: StoreRequest) -> StoreOutcome:
    if isinstance(request, Transact | PutObject):
        return StoreOutcome.unanswered
    return StoreOutcome.unavailable


def _decode_reply(
    request: StoreRequest, response: Response, *, token: str
) -> StoreReply:
    if response.status == HTTPStatus.CONFLICT:
        return StoreReply(
            token=token,
            outcome=StoreOutcome.conflict,
            rows=decode_rows(json.loads(response.body)),
        )
    if (
        isinstance(request, GetObject)
        and response.status == HTTPStatus.NOT_FOUND
    ):
        return StoreReply(token=token, outcome=StoreOutcome.done)
    if response.status in REFUSALS:
        return StoreReply(token=token, outcome=StoreOutcome.unavailable)
    if response.status not in DONE_STATUSES:
        # A server error leaves open whether the request took effect.
        return StoreReply(token=token, outcome=_lost_outcome(request))
    return _decode_done(request, response, token=token)


def _decode_done(
    request: StoreRequest, response: Response, *, token: str
) -> StoreReply:
    done = StoreOutcome.done
    match request:
        case PutObject():
            return StoreReply(token=token, outcome=done)
        case GetObject():
            return StoreReply(token=token, outcome=done, body=response.body)
        case ListHosts():
            hosts = decode_hosts(json.loads(response.body))
            return StoreReply(token=token, outcome=done, hosts=hosts)
        case _:
            rows = decode_rows(json.loads(response.body))
            return StoreReply(token=token, outcome=done, rows=rows)

"""HTTP client of the platform.

It sends requests to the table service, the object store and the host list
of the platform. `docs/platform.md` describes the interface.
"""

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

SUCCESS_STATUSES = frozenset((HTTPStatus.OK, HTTPStatus.NO_CONTENT))
# With these statuses the platform has not carried out the request.
REFUSAL_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class PlatformClient:
    """Send store requests over HTTP and report their outcomes."""

    def __init__(
        self, *, address: Address, host_id: HostId, timeout_ms: float
    ) -> None:
        """Send requests to the platform at `address` as the host `host_id`."""
        self._address = address
        self._host_id = host_id
        self._timeout_ms = timeout_ms
        self._client = Client()

    async def execute(
        self, request: StoreRequest, *, token: str = ''
    ) -> StoreReply:
        """Send a request and return the reply; `token` is copied into it.

        Failures of the platform are not raised but returned as outcomes:
        a write without a valid answer is `unanswered`, as it may have taken
        effect; a read without one, or a request that was not sent, is
        `unavailable`.
        """
        outcome = _outcome_without_answer(request)
        try:
            response = await self._fetch(
                encode_request(request, host_id=self._host_id)
            )
        except NotSentError:
            return StoreReply(token=token, outcome=StoreOutcome.unavailable)
        except AnswerLostError:
            return StoreReply(token=token, outcome=outcome)
        try:
            return _decode_reply(request, response, token=token)
        except (ValueError, KeyError, TypeError):
            return StoreReply(token=token, outcome=outcome)

    async def register(self, host: ListedHost) -> bool:
        """Register or renew a host; return whether that was confirmed."""
        try:
            response = await self._fetch(encode_host(host))
        except (NotSentError, AnswerLostError):
            return False
        return response.status == HTTPStatus.NO_CONTENT

    async def close(self) -> None:
        """Close all connections to the platform."""
        await self._client.close()

    async def _fetch(self, request: Request) -> Response:
        return await self._client.fetch(
            self._address, request, timeout_ms=self._timeout_ms
        )


def _outcome_without_answer(request: StoreRequest) -> StoreOutcome:
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
    if response.status in REFUSAL_STATUSES:
        return StoreReply(token=token, outcome=StoreOutcome.unavailable)
    if response.status not in SUCCESS_STATUSES:
        # After a server error, for example, a write may have taken effect.
        return StoreReply(token=token, outcome=_outcome_without_answer(request))
    return _decode_success(request, response, token=token)


def _decode_success(
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

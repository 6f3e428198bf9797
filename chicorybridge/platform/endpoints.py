"""The calls of the platform that a host answers, besides requests."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from chicorybridge.common.identities import ZoneId
from chicorybridge.http.servers import Request, Response, ServerConnection
from chicorybridge.platform.formats import encode_addresses

READINESS_PATH = '/readiness'
RESOLVE_PATH = '/resolve'

Addresses = Callable[[ZoneId], tuple[str, ...]]


class ReadinessEndpoint:
    """Tell the platform whether this host takes callers."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        """Ask `is_ready` each time."""
        self._is_ready = is_ready

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one call."""
        await connection.read_body()
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if request.path != READINESS_PATH:
            status = HTTPStatus.NOT_FOUND
        elif self._is_ready():
            status = HTTPStatus.OK
        await connection.respond(Response(status=status))


class ResolveEndpoint:
    """Tell callers which addresses to use, and for how long."""

    def __init__(
        self, *, addresses: Addresses, ttl_ms: Callable[[], float]
    ) -> None:
        """Ask `addresses` for those of a zone."""
        self._addresses = addresses
        self._ttl_ms = ttl_ms

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one call."""
        await connection.read_body()
        url = urlsplit(request.path)
        zones = parse_qs(url.query).get('zone', [''])
        addresses = self._addresses(ZoneId(zones[0]))
        response = Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if url.path != RESOLVE_PATH:
            response = Response(status=HTTPStatus.NOT_FOUND)
        elif addresses:
            response = Response(
                status=HTTPStatus.OK,
                headers_by_name={'Content-Type': 'application/json'},
                body=encode_addresses(addresses, ttl_ms=self._ttl_ms()),
            )
        await connection.respond(response)

"""HTTP endpoints of a host for readiness checks and address lookups."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from chicorybridge.common.identities import ZoneId
from chicorybridge.http.servers import Request, Response, ServerConnection
from chicorybridge.platform.formats import encode_addresses

READINESS_PATH = '/readiness'
RESOLVE_PATH = '/resolve'

AddressLookup = Callable[[ZoneId], tuple[str, ...]]


class ReadinessEndpoint:
    """Report to the platform whether this host accepts callers."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        """Evaluate `is_ready` for each request."""
        self._is_ready = is_ready

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer 200 if the host is ready, else 503; 404 to other paths."""
        await connection.read_body()
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if request.path != READINESS_PATH:
            status = HTTPStatus.NOT_FOUND
        elif self._is_ready():
            status = HTTPStatus.OK
        await connection.respond(Response(status=status))


class ResolveEndpoint:
    """List the addresses that callers may use, and their time to live."""

    def __init__(
        self, *, addresses: AddressLookup, ttl_ms: Callable[[], float]
    ) -> None:
        """Get the addresses for a zone, as IP:PORT, with `addresses`."""
        self._addresses = addresses
        self._ttl_ms = ttl_ms

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer 200 with the addresses, or 503 if there are none.

        The query parameter `zone` is the zone of the caller. Other paths
        get 404.
        """
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

"""HTTP endpoints of a host: readiness, address directory and metrics."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from chicorybridge.common import sockets
from chicorybridge.hosts.address_directories import AddressDirectory
from chicorybridge.hosts.metrics import HostMetrics, MetricsEndpoint
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.states import HostState
from chicorybridge.http.servers import Request, Server, ServerConnection
from chicorybridge.platform.endpoints import ReadinessEndpoint, ResolveEndpoint


class Endpoint(Protocol):
    """Handler of the requests to one endpoint."""

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""


def endpoint_servers(
    *,
    host_settings: HostSettings,
    state: HostState,
    addresses: AddressDirectory,
    ttl_ms: Callable[[], float],
    metrics: HostMetrics,
) -> tuple[Coroutine[Any, Any, None], ...]:
    """Return one coroutine per endpoint, which serves it until cancelled."""
    readiness = ReadinessEndpoint(is_ready=lambda: state.ready)
    resolve = ResolveEndpoint(addresses=addresses.addresses, ttl_ms=ttl_ms)
    return (
        _serve(host_settings.readiness, readiness),
        _serve(host_settings.directory, resolve),
        _serve(host_settings.metrics, MetricsEndpoint(text=metrics.text)),
    )


async def _serve(address: str, endpoint: Endpoint) -> None:
    listener = sockets.listen(address)
    await Server(listener=listener, handler=endpoint.answer).run()

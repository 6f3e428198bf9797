"""The small addresses of a host: readiness, where to connect, metrics."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from chicorybridge.common import sockets
from chicorybridge.hosts.directories import AddressDirectory
from chicorybridge.hosts.metrics import HostMetrics, MetricsDesk
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.states import HostState
from chicorybridge.http.services import Request, Server, ServerConnection
from chicorybridge.platform.desks import ReadinessDesk, ResolveDesk


class Desk(Protocol):
    """What answers the calls on one of the small addresses."""

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one call."""


def desks(
    *,
    given: HostSettings,
    state: HostState,
    addresses: AddressDirectory,
    ttl_ms: Callable[[], float],
    metrics: HostMetrics,
) -> tuple[Coroutine[Any, Any, None], ...]:
    """Return what serves each of the small addresses until cancelled."""
    readiness = ReadinessDesk(is_ready=lambda: state.ready)
    resolve = ResolveDesk(addresses=addresses.addresses, ttl_ms=ttl_ms)
    return (
        _serve(given.readiness, readiness),
        _serve(given.directory, resolve),
        _serve(given.metrics, MetricsDesk(text=metrics.text)),
    )


async def _serve(address: str, desk: Desk) -> None:
    listener = sockets.listen(address)
    await Server(listener=listener, handler=desk.answer).run()

"""Find the route, service and deadline of a request; read its body."""

import random

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import ServiceId
from chicorybridge.configuration.declarations import Route
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.quotas.key_checks import KeyChecks
from chicorybridge.quotas.permits import Permits
from chicorybridge.quotas.settings import (
    MAX_PERMIT_WAIT_MS,
    PERMIT_WAIT_SHARE,
)
from chicorybridge.hosts.states import HostPhase, HostState
from chicorybridge.http.bodies import CallerError, RequestBody
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.dialects import Dialect
from chicorybridge.http.exchanges import Head, parse_integer

HOST_HEADER = b'host'


class RequestReader:
    """Build calls from requests under the active configuration."""

    def __init__(
        self,
        *,
        clock: Clock,
        state: HostState,
        dialect: Dialect,
        permits: Permits | None = None,
    ) -> None:
        """Compute deadlines on `clock`; get permits from `permits`."""
        self.permits = permits
        self._clock = clock
        self._state = state
        self._dialect = dialect
        self._rng = random.Random()
        self.key_checks = KeyChecks(state=state, dialect=dialect)

    async def read(self, exchange: CallerExchange, head: Head) -> Call:
        """Return the call with as much of its body as the buffer holds.

        Raise `RefusalError` if the host is stopping or has no usable
        configuration, the key is rejected, no route matches, or the body is
        too late;
        `CallerError` if the caller disconnects first.
        """
        arrived_at = self._clock.now()
        await self._wait_until_usable(exchange, head)
        configuration = self._current_configuration()
        method = head.method.decode('ascii')
        path = head.path.decode('ascii')
        route = configuration.routes.find(
            method=method, path=path, host=_host_name(head)
        )
        workspace = self.key_checks.identify(head, configuration, route)
        if route is None:
            raise self._unknown_route_error()
        call = self._build_call(
            exchange, head, configuration, route, arrived_at
        )
        call.caller_workspace = workspace
        try:
            await self._acquire_permit(call)
            await self._read_body(call)
        except BaseException:
            self.give_back(call)
            call.body.close()
            raise
        return call

    def give_back(self, call: Call) -> None:
        """Return the permit of a call that was not run."""
        if call.permit is not None and self.permits is not None:
            self.permits.give_back(call.permit)

    async def _acquire_permit(self, call: Call) -> None:
        """Get a permit if the workspace of the call has a limit.

        Raise `RefusalError` if it is over its limit.
        """
        workspace = call.caller_workspace
        if workspace is None or self.permits is None:
            return
        left_ms = max(0, call.deadline_at - self._clock.now())
        target_latency_ms = min(
            call.route.target_latency_ms or left_ms, left_ms
        )
        call.permit = await self.permits.acquire(
            workspace,
            max_wait_ms=min(
                target_latency_ms * PERMIT_WAIT_SHARE, MAX_PERMIT_WAIT_MS
            ),
        )

    def _unknown_route_error(self) -> RefusalError:
        if self._state.is_current():
            return RefusalError(
                code=ErrorCode.route_unknown,
                detail='no route matches the request',
            )
        # A newer configuration may have the route.
        return RefusalError(
            code=ErrorCode.no_configuration,
            detail='this host may lack a newer configuration',
        )

    async def _wait_until_usable(
        self, exchange: CallerExchange, head: Head
    ) -> None:
        """Wait for newer data if the configuration may be outdated.

        Not if the caller would give up first, nor if there is none.
        """
        wait_ms = settings.CONFIGURATION_WAIT_MS
        caller_timeout_ms = parse_integer(head.header(self._dialect.deadline))
        if caller_timeout_ms is not None and caller_timeout_ms <= wait_ms:
            return
        ends_at = self._clock.now() + wait_ms
        while self._may_become_usable() and self._clock.now() < ends_at:
            await curio.sleep(
                as_seconds(settings.CONFIGURATION_CHECK_INTERVAL_MS)
            )
            if sockets.is_closed(exchange.sock):
                raise CallerError(
                    code=ErrorCode.stream_closed, detail='caller disconnected'
                )

    def _may_become_usable(self) -> bool:
        """Return whether the configuration lacks only a newer read."""
        if self._state.phase is HostPhase.closing:
            return False
        return (
            self._state.configuration is not None
            and not self._state.is_usable()
        )

    def _current_configuration(self) -> HostConfiguration:
        if self._state.phase is HostPhase.closing:
            raise RefusalError(
                code=ErrorCode.host_leaving,
                detail='this host is stopping',
                retry_after_ms=settings.HOST_LEAVING_RETRY_AFTER_MS,
            )
        configuration = self._state.configuration
        if configuration is None:
            raise RefusalError(
                code=ErrorCode.no_configuration,
                detail='this host has no configuration yet',
            )
        if not self._state.is_usable():
            raise RefusalError(
                code=ErrorCode.no_configuration,
                detail='the configuration of this host may be outdated',
            )
        return configuration

    def _build_call(
        self,
        exchange: CallerExchange,
        head: Head,
        configuration: HostConfiguration,
        route: Route,
        arrived_at: Millis,
    ) -> Call:
        services_by_id = configuration.declaration.services_by_id
        service_id = self._select_service(route)
        return Call(
            exchange=exchange,
            head=head,
            body=RequestBody(
                exchange=exchange,
                head=head,
                max_bytes=configuration.limits.max_body_bytes,
                clock=self._clock,
                buffer_bytes=settings.HOST_BODY_BUFFER_BYTES,
            ),
            route=route,
            service=services_by_id[service_id],
            configuration=configuration,
            idempotent=bool(route.idempotent),
            started_at=arrived_at,
            deadline_at=self._deadline(head, route, arrived_at),
            configuration_age_ms=self._state.age_ms(),
            dialect=self._dialect,
            caller_ip=exchange.caller_ip,
            is_keyed=configuration.keys is not None,
        )

    def _select_service(self, route: Route) -> ServiceId:
        if not route.split:
            return route.service_id
        services = self._rng.choices(
            route.split, weights=[share.weight for share in route.split]
        )
        return services[0].service_id

    def _deadline(self, head: Head, route: Route, start: Millis) -> Millis:
        timeout_ms: float = route.timeout_ms or settings.TIMEOUT_MS
        caller_timeout_ms = parse_integer(head.header(self._dialect.deadline))
        if caller_timeout_ms is not None:
            # Leaves time to send the answer before the caller gives up.
            usable_ms = caller_timeout_ms - settings.ANSWER_MARGIN_MS
            timeout_ms = min(timeout_ms, max(0, usable_ms))
        return Millis(start + timeout_ms)

    async def _read_body(self, call: Call) -> None:
        left_ms = max(0, call.deadline_at - self._clock.now())
        try:
            async with curio.timeout_after(as_seconds(left_ms)):
                await call.body.read_ahead()
        except curio.TaskTimeout as error:
            raise RefusalError(
                code=ErrorCode.body_timeout,
                detail='the request body did not arrive before the deadline',
            ) from error


def _host_name(head: Head) -> str:
    text = (head.header(HOST_HEADER) or b'').decode('latin-1').lower()
    name, _, port = text.rpartition(':')
    return name if port.isdecimal() else text

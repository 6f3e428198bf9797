"""Find the route, service, deadline and key of a request from its head."""

from chicorybridge.claims.request_keys import parse_key_header
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import RequestKey, WorkspaceId
from chicorybridge.configuration.configurations import ActiveConfiguration
from chicorybridge.entry.calls import WORKSPACE_HEADER, Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.http.bodies import RequestBody
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.dialects import DEFAULT_DIALECT
from chicorybridge.http.exchanges import Head, parse_integer
from chicorybridge.routing.routes import (
    IDEMPOTENT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    is_idempotent,
)


class CallReader:
    """Build a `Call` from the head of a request."""

    def __init__(self, *, clock: Clock) -> None:
        """Create a reader; `clock` gives the time for deadlines."""
        self._clock = clock

    def read(
        self,
        exchange: CallerExchange,
        head: Head,
        configuration: ActiveConfiguration,
    ) -> Call:
        """Return the call under `configuration`.

        Raise `RefusalError` if no route matches or the workspace is
        unknown.
        """
        method = head.method.decode('ascii')
        path = head.path.decode('ascii')
        route = configuration.routes.find(method=method, path=path)
        if route is None:
            raise RefusalError(
                code=ErrorCode.route_unknown,
                detail='no route matches the request',
            )
        service = configuration.declaration.services_by_id[route.service_id]
        idempotent = is_idempotent(
            route, method=method, header=head.header(IDEMPOTENT_HEADER)
        )
        body = RequestBody(
            exchange=exchange,
            head=head,
            max_bytes=service.max_body_bytes,
            clock=self._clock,
        )
        timeout_ms = route.timeout_ms or service.timeout_ms
        return Call(
            exchange=exchange,
            head=head,
            body=body,
            route=route,
            service=service,
            configuration=configuration,
            idempotent=idempotent,
            started_at=self._clock.now(),
            deadline_at=self._deadline_at(head, timeout_ms),
            workspace_id=_read_workspace_id(head, configuration),
            key=None if idempotent else _read_key(head),
        )

    def _deadline_at(self, head: Head, timeout_ms: int) -> Millis:
        requested_ms = parse_integer(head.header(DEFAULT_DIALECT.deadline))
        if requested_ms is not None:
            timeout_ms = min(timeout_ms, requested_ms)
        return Millis(self._clock.now() + timeout_ms)


def _read_workspace_id(
    head: Head, configuration: ActiveConfiguration
) -> WorkspaceId | None:
    value = head.header(WORKSPACE_HEADER)
    if value is None:
        return None
    workspace_id = WorkspaceId(value.decode('ascii', 'replace'))
    if workspace_id in configuration.declaration.workspaces_by_id:
        return workspace_id
    raise RefusalError(
        code=ErrorCode.workspace_unknown,
        detail='unknown workspace in the request header',
    )


def _read_key(head: Head) -> RequestKey | None:
    value = head.header(IDEMPOTENCY_KEY_HEADER)
    return None if value is None else parse_key_header(value.decode('latin-1'))

"""Reading a request by its head: route, service, deadline, key."""

from chicorybridge.claims.request_keys import parse_key_header
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import RequestKey, WorkspaceId
from chicorybridge.configuration.configurations import ActiveConfiguration
from chicorybridge.entry.calls import WORKSPACE_HEADER, Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.http.bodies import RequestBody
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.dialects import OWN
from chicorybridge.http.exchanges import Head, whole_number
from chicorybridge.routing.routes import (
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    is_idempotent,
)


class CallReader:
    """Make calls of requests under a configuration."""

    def __init__(self, *, clock: Clock) -> None:
        """Count deadlines on `clock`."""
        self._clock = clock

    def read(
        self,
        exchange: CallerExchange,
        head: Head,
        configuration: ActiveConfiguration,
    ) -> Call:
        """Return the call; raise `RefusalError` if nothing may run it."""
        method = head.method.decode('ascii')
        path = head.path.decode('ascii')
        route = configuration.routes.find(method=method, path=path)
        if route is None:
            raise RefusalError(
                code=ErrorCode.route_unknown, detail='no route takes this'
            )
        service = configuration.declaration.services_by_id[route.service_id]
        idempotent = is_idempotent(
            route, method=method, mark=head.header(IDEMPOTENT_HEADER)
        )
        body = RequestBody(
            exchange=exchange,
            head=head,
            limit=service.max_body_bytes,
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
            deadline_at=self._deadline(head, timeout_ms),
            workspace_id=_workspace_of(head, configuration),
            key=None if idempotent else _key_of(head),
        )

    def _deadline(self, head: Head, timeout_ms: int) -> Millis:
        given_ms = whole_number(head.header(OWN.deadline))
        if given_ms is not None:
            timeout_ms = min(timeout_ms, given_ms)
        return Millis(self._clock.now() + timeout_ms)


def _workspace_of(
    head: Head, configuration: ActiveConfiguration
) -> WorkspaceId | None:
    text = head.header(WORKSPACE_HEADER)
    if text is None:
        return None
    workspace_id = WorkspaceId(text.decode('ascii', 'replace'))
    if workspace_id in configuration.declaration.workspaces_by_id:
        return workspace_id
    raise RefusalError(
        code=ErrorCode.workspace_unknown, detail='no such workspace'
    )


def _key_of(head: Head) -> RequestKey | None:
    text = head.header(KEY_HEADER)
    return None if text is None else parse_key_header(text.decode('latin-1'))

"""The state of a caller's request while it is processed."""

import dataclasses
from typing import TYPE_CHECKING, Any, Union

from chicorybridge.claims.request_keys import fingerprint
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Digest, RequestKey, WorkspaceId
from chicorybridge.common.outcomes import RequestOutcome, outcome_of
from chicorybridge.configuration.declarations import Route, Service
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.http.answer_relays import AnswerRelay
from chicorybridge.http.bodies import RequestBody
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.dialects import DEFAULT_DIALECT, Dialect
from chicorybridge.http.exchanges import Head
from chicorybridge.quotas.keys import CallerWorkspace
from chicorybridge.quarantine.crash_reports import CrashPossible
from chicorybridge.routing.ranks import Rank

if TYPE_CHECKING:
    # Hosts use none; importing it would delay their start.
    from chicorybridge.configuration.configurations import ActiveConfiguration

WORKSPACE_HEADER = b'chicorybridge-workspace'
DIGEST_HEADER = b'content-digest'


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """One request with its route, limits and attempts.

    `configuration` is the one in force when the request arrived; it stays
    the same until the request ends. `key` is the idempotency key, if any.
    """

    exchange: CallerExchange
    head: Head
    body: RequestBody
    route: Route
    service: Service
    configuration: Union['ActiveConfiguration', HostConfiguration]
    idempotent: bool
    started_at: Millis
    deadline_at: Millis
    workspace_id: WorkspaceId | None = None
    key: RequestKey | None = None
    # The workspace whose key the caller sent, if workspaces have keys.
    caller_workspace: CallerWorkspace | None = None
    # Whether callers need keys, which must not reach targets.
    is_keyed: bool = False
    # The permit that counts against the limit of the workspace.
    permit: Any = None
    # Age of the store data behind `configuration` when the request was routed;
    # `None` if hosts don't track it.
    configuration_age_ms: int | None = None
    # Whether this request was granted the claim on its key.
    claimed: bool = False
    # The caller's IP address; empty if callers are not distinguished by it.
    caller_ip: str = ''
    # Names of the headers used with this caller and with the target.
    dialect: Dialect = DEFAULT_DIALECT
    # When a retry was taken from the budget for the next attempt; `None` if
    # the next attempt is not a retry that counts against the budget.
    retry_taken_at: Millis | None = None
    # Whether part of an answer has been sent to the caller.
    committed: bool = False
    # Sends an answer that is too large to be buffered.
    relay: AnswerRelay | None = None
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    # Whether an attempt has started that is not yet in `attempts`.
    attempt_in_progress: bool = False
    # Targets that broke off this call and may have crashed, of which no other
    # host knows, and whether they accept connections, if that is known.
    untold_crashes: dict[CrashPossible, bool] = dataclasses.field(
        default_factory=dict
    )
    is_over: bool = False
    known_digest: Digest | None = None

    @property
    def outcome(self) -> RequestOutcome:
        """Return the outcome of the request as far as it is known.

        Until its claim is granted the outcome is unknown, because an earlier
        request with the same key may have run.
        """
        if self.key is not None and not self.claimed:
            return RequestOutcome.unknown
        if self.attempt_in_progress:
            return RequestOutcome.unknown
        return outcome_of(self.attempts)

    @property
    def rank(self) -> Rank:
        """Return the urgency: that of the workspace before the route's."""
        rank = self.route.rank
        workspace = self.caller_workspace
        if workspace is None or workspace.priority is None:
            return Rank(first=rank, second=rank)
        return Rank(first=workspace.priority, second=rank)

    def record(self, attempt: Attempt) -> None:
        """Add the attempt that was in progress."""
        self.attempts.append(attempt)
        self.attempt_in_progress = False

    async def finish_relay(self) -> None:
        """Wait until a relayed answer was sent; raise what prevents that."""
        if self.relay is not None:
            await self.relay.finish()

    async def stop_relay(self) -> None:
        """End the relay of an answer, also an incomplete one."""
        if self.relay is not None:
            await self.relay.stop()

    @property
    def body_bytes(self) -> int:
        """Return the length of the body, or the limit while it is unknown."""
        if self.head.length is not None:
            return self.head.length
        if self.body.buffered is not None:
            return len(self.body.buffered)
        return self.service.max_body_bytes

    @property
    def digest(self) -> Digest:
        """Return a digest that is equal for repetitions of the request.

        A body that is not held in memory is represented by its length and
        its Content-Digest header. The first result is kept, as the whole body
        goes into it.
        """
        if self.known_digest is None:
            self.known_digest = self._compute_digest()
        return self.known_digest

    def _compute_digest(self) -> Digest:
        body = self.body.buffered
        if body is None:
            digest = self.head.header(DIGEST_HEADER) or b''
            body = b'%d %s' % (self.head.length or 0, digest)
        workspace = (self.workspace_id or '').encode()
        caller_ip = self.caller_ip.encode()
        return fingerprint(
            (self.head.method, self.head.path, workspace, caller_ip, body)
        )

"""Log lines and counters of requests and attempts."""

import dataclasses
import traceback
from typing import Any

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import EarlyRefusal
from chicorybridge.hosts.metrics import HostMetrics
from chicorybridge.hosts.states import HostState
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.dialects import Dialect
from chicorybridge.http.exchanges import ExchangeError, Head
from chicorybridge.routing.selections import Option

# Errors of callers that disconnected or violated the protocol.
CALLER_ERROR_CODES = frozenset(
    (
        ErrorCode.stream_closed,
        ErrorCode.request_malformed,
        ErrorCode.request_too_large,
    )
)


class RequestLog:
    """Log the decisions on requests and what they are based on."""

    def __init__(
        self,
        *,
        log: EventLog,
        state: HostState,
        dialect: Dialect,
        metrics: HostMetrics,
    ) -> None:
        """Write to `log`; `dialect` gives the name of the request id header."""
        self._metrics = metrics
        self._log = log
        self._state = state
        self._dialect = dialect

    def request_id(self, head: Head | None) -> str:
        """Return the id of a request, empty if it has none."""
        if head is None or self._dialect.request_id is None:
            return ''
        return (head.header(self._dialect.request_id) or b'').decode('latin-1')

    def log_refusal(
        self,
        head: Head | None,
        error: RequestError,
        outcome: RequestOutcome,
        *,
        status: int,
    ) -> None:
        """Log a request that the host itself answered with an error."""
        self._metrics.count('refusals', error.code.name)
        facts: dict[str, Any] = {
            'request': self.request_id(head),
            'code': error.code.value,
            'detail': error.detail,
            'status': status,
            'outcome': outcome.value,
            'version': self._state.version,
            **getattr(error, 'facts', {}),
        }
        early: EarlyRefusal | None = getattr(error, 'early', None)
        if early is not None:
            self._metrics.count_early_refusal(early)
            facts.update(dataclasses.asdict(early))
        self._log.emit(Event(kind=EventKind.request_refused, facts=facts))

    def log_failure(self, head: Head, error: Exception) -> None:
        """Log an unexpected error in the host that failed a request."""
        facts = {
            'request': self.request_id(head),
            'error': f'{type(error).__name__}: {error}',
            'trace': traceback.format_tb(error.__traceback__),
        }
        self._log.emit(Event(kind=EventKind.request_failed, facts=facts))

    def log_attempt(self, call: Call, attempt: Attempt, option: Option) -> None:
        """Log an attempt and why its target was selected."""
        self._metrics.count('attempts', attempt.outcome.value)
        self._metrics.record_exchange(option.entry.zone_id, attempt)
        facts = {
            'request': self.request_id(call.head),
            'caller': call.caller_ip,
            'route': call.route.route_id,
            'service': call.service.service_id,
            'idempotent': call.idempotent,
            'version': call.configuration.version,
            'configuration_age_ms': call.configuration_age_ms,
            'turn': len(call.attempts),
            'target': attempt.target_id,
            'outcome': attempt.outcome.value,
            'elapsed_ms': round(attempt.elapsed_ms, 1),
            'first_byte_ms': attempt.first_byte_ms,
            'new_connection': attempt.new_connection,
            'soundness': round(option.soundness, 3),
            'load': round(option.load, 2),
            'placed_after_ms': round(attempt.started_at - call.started_at),
            'seen_ms_ago': _rounded_age(option.result_age_ms),
            'list_age_ms': option.list_age_ms,
            **_workspace_facts(call, attempt),
        }
        self._log.emit(Event(kind=EventKind.attempt_ended, facts=facts))

    def log_end(self, call: Call, *, status: int, now: Millis) -> None:
        """Log the end of a request that was answered."""
        elapsed_ms = now - call.started_at
        self._metrics.count('requests', str(status))
        self._metrics.record_latency(call.service.service_id, elapsed_ms)
        facts = {
            'request': self.request_id(call.head),
            'status': status,
            'outcome': call.outcome.value,
            'attempts': len(call.attempts),
            'elapsed_ms': round(elapsed_ms, 1),
            'left_ms': round(call.deadline_at - now),
        }
        self._log.emit(Event(kind=EventKind.request_ended, facts=facts))

    def log_unanswered(
        self, call: Call, error: BaseException, *, now: Millis
    ) -> None:
        """Log a request that ended without an answer, and the error."""
        kind = EventKind.request_cut
        if _is_caller_error(error) or sockets.is_closed(call.exchange.sock):
            kind = EventKind.caller_gone
        self._metrics.count('requests', kind.name)
        facts = {
            'request': self.request_id(call.head),
            'outcome': call.outcome.value,
            'attempts': len(call.attempts),
            'elapsed_ms': round(now - call.started_at, 1),
            'error': type(error).__name__,
            'detail': str(error),
        }
        self._log.emit(Event(kind=kind, facts=facts))


def _workspace_facts(call: Call, attempt: Attempt) -> dict[str, Any]:
    """Return whose request it is, and who granted its permit and when."""
    if call.caller_workspace is None:
        return {}
    facts: dict[str, Any] = {
        'workspace': call.caller_workspace.workspace_id,
        'rank': call.rank,
    }
    if call.permit is not None:
        facts['permit_from'] = call.permit.granter_id
        facts['permit_wait_ms'] = round(call.permit.wait_ms, 1)
        facts['permit_age_ms'] = round(
            attempt.started_at - call.permit.granted_at
        )
    return facts


def _is_caller_error(error: BaseException) -> bool:
    # Any other code means that the host cut an answer it had begun.
    if not isinstance(error, CallerError | ExchangeError):
        return False
    return error.code in CALLER_ERROR_CODES


def _rounded_age(age_ms: float) -> int | None:
    # Infinite for a target without results so far.
    return round(age_ms) if age_ms < settings.NEVER_READ_AGE_MS else None

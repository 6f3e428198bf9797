"""Lines of the log that tell the story of one request."""

import traceback

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.entry.calls import Call
from chicorybridge.hosts.metrics import HostMetrics
from chicorybridge.hosts.states import HostState
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.dialects import Dialect
from chicorybridge.http.exchanges import ExchangeError, Head
from chicorybridge.routing.selections import Option

# Errors of callers that went away or broke the protocol.
CALLER_ERROR_CODES = frozenset(
    (
        ErrorCode.stream_closed,
        ErrorCode.request_malformed,
        ErrorCode.request_too_large,
    )
)


class RequestLog:
    """Write what was decided on requests, and on what grounds."""

    def __init__(
        self,
        *,
        log: EventLog,
        state: HostState,
        dialect: Dialect,
        metrics: HostMetrics,
    ) -> None:
        """Write to `log`, with ids as `dialect` names them."""
        self._metrics = metrics
        self._log = log
        self._state = state
        self._dialect = dialect

    def request_id(self, head: Head | None) -> str:
        """Return the id of a request, empty without one."""
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
        """Tell of a request that was answered by the host itself."""
        self._metrics.count('refusals', error.code.name)
        facts = {
            'request': self.request_id(head),
            'code': error.code.value,
            'detail': error.detail,
            'status': status,
            'outcome': outcome.value,
            'version': self._state.version,
        }
        self._log.emit(Event(kind=EventKind.request_refused, facts=facts))

    def log_failure(self, head: Head, error: Exception) -> None:
        """Tell of an error inside the host that cost a request its run."""
        facts = {
            'request': self.request_id(head),
            'error': f'{type(error).__name__}: {error}',
            'trace': traceback.format_tb(error.__traceback__),
        }
        self._log.emit(Event(kind=EventKind.request_failed, facts=facts))

    def log_attempt(self, call: Call, attempt: Attempt, option: Option) -> None:
        """Tell of an attempt, and of what led to its target."""
        self._metrics.count('attempts', attempt.outcome.value)
        facts = {
            'request': self.request_id(call.head),
            'caller': call.caller,
            'route': call.route.route_id,
            'service': call.service.service_id,
            'idempotent': call.idempotent,
            'version': call.configuration.version,
            'turn': len(call.attempts),
            'target': attempt.target_id,
            'outcome': attempt.outcome.value,
            'elapsed_ms': round(attempt.elapsed_ms, 1),
            'first_byte_ms': attempt.first_byte_ms,
            'new_connection': attempt.fresh_connection,
            'soundness': round(option.soundness, 3),
            'load': round(option.load, 2),
            'placed_after_ms': round(attempt.started_at - call.started_at),
            'seen_ms_ago': _rounded_age(option.age_ms),
        }
        self._log.emit(Event(kind=EventKind.attempt_ended, facts=facts))

    def log_end(self, call: Call, *, status: int, now: Millis) -> None:
        """Tell what a request came to, whoever answered it."""
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
        """Tell of a request that ended without an answer, and by what."""
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


def _is_caller_error(error: BaseException) -> bool:
    # With another code, an answer that had begun was cut by the host.
    if not isinstance(error, CallerError | ExchangeError):
        return False
    return error.code in CALLER_ERROR_CODES


def _rounded_age(age_ms: float) -> int | None:
    # A target that was never seen has no age.
    return round(age_ms) if age_ms < settings.STALE_LONG_MS else None

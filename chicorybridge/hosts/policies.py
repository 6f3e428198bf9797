"""The decisions on one request: its next target, its patience, its retries."""

from collections.abc import Callable

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import TargetId
from chicorybridge.common.outcomes import was_not_run
from chicorybridge.entry.calls import Call
from chicorybridge.entry.forwards import Patience
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.routing.allowances import RetryAllowances, RetryBound
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.selections import Manner, Option, Selector

Report = Callable[[TargetSeen], None]


class HostPolicies:
    """Choose targets for calls, and learn from how they fared."""

    def __init__(
        self,
        *,
        clock: Clock,
        selector: Selector,
        allowances: RetryAllowances,
        hosts: Callable[[], int],
        report: Report,
    ) -> None:
        """Join the parts.

        `hosts` returns the number of hosts that share the bound on
        retries; `report` takes what an attempt showed of its target.
        """
        self._clock = clock
        self._selector = selector
        self._allowances = allowances
        self._hosts = hosts
        self._report = report

    def rebound(self, bound: RetryBound) -> None:
        """Take over another bound on retries."""
        self._allowances.rebound(bound)

    def admit(self, call: Call) -> None:
        """Count a request that is about to be sent."""
        allowance = self._allowances.of(call.service.service_id)
        allowance.request(now=self._clock.now())

    def choose(self, call: Call) -> Option:
        """Return the next target; raise `RefusalError` without one."""
        manner = Manner.safest
        if not call.attempts and _is_repeatable(call):
            manner = Manner.exploring
        option = self._selector.choose(
            call.service.service_id,
            manner,
            excluded=frozenset(one.target_id for one in call.attempts),
            body_bytes=call.body_bytes,
            now=self._clock.now(),
        )
        if option is None:
            raise RefusalError(
                code=ErrorCode.no_target,
                detail='no target may take the request now',
                outcome=call.outcome,
            )
        return option

    def patience(self, call: Call) -> Patience:
        """Return how long to wait before another target is tried."""
        attempt_ms = call.deadline_at - self._clock.now()
        if _is_repeatable(call) and _runs(call) + 1 < call.route.attempts:
            aim_ms = call.route.target_latency_ms or attempt_ms
            slow_ms = self.slow_ms(call)
            attempt_ms = min(
                attempt_ms, max(slow_ms, aim_ms * settings.HEDGE_SHARE)
            )
        return Patience(
            attempt_ms=attempt_ms,
            connect_ms=settings.HOST_CONNECT_MS,
            idle_ms=settings.HOST_IDLE_MS,
            buffer_bytes=settings.HOST_BUFFER_BYTES,
        )

    def slow_ms(self, call: Call) -> float:
        """Return the time after which an answer is unusually late.

        It follows what requests of the service take under the load of
        now, so that a service that is slow as a whole is not asked twice.
        """
        usual_ms = self._selector.usual_ms(
            call.service.service_id, now=self._clock.now()
        )
        if usual_ms is None:
            return call.route.target_latency_ms or settings.STALL_MS
        return usual_ms * settings.SLOW_FACTOR

    def started(self, target_id: TargetId) -> None:
        """Count an attempt that begins."""
        self._selector.started(target_id)

    def finished(self, attempt: Attempt) -> None:
        """Learn from an attempt that ended."""
        self._selector.finished(attempt.target_id)
        sign = _sign_of(attempt.outcome)
        if sign is None:
            return
        latency_ms = 0
        if sign is Sign.answered:
            latency_ms = round(attempt.elapsed_ms)
        self._report(
            TargetSeen(
                target_id=attempt.target_id, sign=sign, latency_ms=latency_ms
            )
        )

    def stalled(self, target_id: TargetId) -> None:
        """Tell of a target that takes much longer than requests do."""
        self._report(TargetSeen(target_id=target_id, sign=Sign.stalled))

    def may_retry(self, call: Call) -> bool:
        """Decide whether a call goes on after its last attempt."""
        attempt = call.attempts[-1]
        now = self._clock.now()
        if call.deadline_at - now < settings.RETRY_LEAST_MS:
            return False
        if len(call.attempts) >= settings.HOST_TRIES:
            return False
        if not attempt.sent_bytes:
            # Nothing arrived, so nothing is added to the load.
            return attempt.outcome is AttemptOutcome.unreachable
        if call.body.whole is None:
            return False
        if not was_not_run(attempt):
            if not call.idempotent or _runs(call) >= call.route.attempts:
                return False
        allowance = self._allowances.of(call.service.service_id)
        return allowance.take(hosts=self._hosts(), now=now)


def _is_repeatable(call: Call) -> bool:
    if not call.idempotent or call.body.whole is None:
        return False
    return call.route.attempts > 1


def _runs(call: Call) -> int:
    """Return how many targets may have run the call so far."""
    return sum(not was_not_run(attempt) for attempt in call.attempts)


def _sign_of(outcome: AttemptOutcome) -> Sign | None:
    match outcome:
        case AttemptOutcome.answered:
            return Sign.answered
        case AttemptOutcome.failed:
            return Sign.failed
        case AttemptOutcome.shed:
            return Sign.rejected
        case AttemptOutcome.unreachable:
            return Sign.unreachable
        case AttemptOutcome.cut:
            return Sign.broke
        case AttemptOutcome.timed_out:
            return Sign.stalled
        case _:
            # The caller went away first, which shows nothing.
            return None

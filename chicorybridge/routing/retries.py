"""Which attempts are retried, within a budget that follows live load."""

import dataclasses
import math
from collections.abc import Sequence

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId, TargetId
from chicorybridge.common.outcomes import (
    RequestOutcome,
    outcome_of,
    was_not_run,
)
from chicorybridge.configuration.declarations import Declaration

# Outcomes after which another target may do better.
RETRIED_OUTCOMES = frozenset(
    (
        AttemptOutcome.shed,
        AttemptOutcome.unreachable,
        AttemptOutcome.cut,
        AttemptOutcome.timed_out,
    )
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """What the retry decision needs to know of a request.

    `replayable` says that the body can be sent again from its start;
    `committed` that a part of an answer went to the caller.
    """

    service_id: ServiceId
    idempotent: bool
    deadline_at: Millis
    replayable: bool = True
    committed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryDecision:
    """Whether to try another target than `excluded`, else the outcome."""

    retry: bool
    outcome: RequestOutcome
    excluded: frozenset[TargetId]


class RetryBudget:
    """Allow retries up to a share of the requests of the last seconds.

    Both counts fade with `RETRY_DECAY_MS`. `RETRY_RESERVE` retries are
    allowed on top, so that a nearly idle service can retry at all.
    """

    def __init__(self, *, share: float) -> None:
        """Start without requests."""
        self.share = share
        self._requests: float = 0
        self._retries: float = 0
        self._faded_at = Millis(0)

    def deposit(self, *, now: Millis) -> None:
        """Count a request, not a retry of one."""
        self._fade(now)
        self._requests += 1

    def withdraw(self, *, now: Millis) -> bool:
        """Count a retry and return true if the budget allows it."""
        self._fade(now)
        allowed = self.share * self._requests + settings.RETRY_RESERVE
        if self._retries + 1 > allowed:
            return False
        self._retries += 1
        return True

    def _fade(self, now: Millis) -> None:
        elapsed = now - self._faded_at
        if elapsed < settings.RETRY_DECAY_STEP_MS:
            return
        factor = math.exp(-elapsed / settings.RETRY_DECAY_MS)
        self._requests *= factor
        self._retries *= factor
        self._faded_at = now


class RetryPolicy:
    """Decide after each attempt whether the request goes on."""

    def __init__(self) -> None:
        """Start without a declaration: nothing is retried."""
        self._budgets_by_service: dict[ServiceId, RetryBudget] = {}

    def set_declaration(self, declaration: Declaration) -> None:
        """Take over the shares; budgets of services that stay go on."""
        budgets = {}
        for service_id, service in declaration.services_by_id.items():
            budget = self._budgets_by_service.get(service_id)
            if budget is None:
                budget = RetryBudget(share=service.retry_share)
            budget.share = service.retry_share
            budgets[service_id] = budget
        self._budgets_by_service = budgets

    def record_request(self, service_id: ServiceId, *, now: Millis) -> None:
        """Count a request that is sent for the first time."""
        budget = self._budgets_by_service.get(service_id)
        if budget is not None:
            budget.deposit(now=now)

    def decide(
        self,
        facts: RequestFacts,
        attempts: Sequence[Attempt],
        *,
        now: Millis,
    ) -> RetryDecision:
        """Decide on a request whose last attempt has just ended."""
        retry = self._is_eligible(facts, attempts, now)
        if retry and attempts[-1].sent_bytes:
            # What never arrived adds nothing to the load of targets.
            retry = self._withdraw(facts.service_id, now)
        return RetryDecision(
            retry=retry,
            outcome=outcome_of(attempts),
            excluded=frozenset(attempt.target_id for attempt in attempts),
        )

    def _is_eligible(
        self,
        facts: RequestFacts,
        attempts: Sequence[Attempt],
        now: Millis,
    ) -> bool:
        if not attempts or attempts[-1].outcome not in RETRIED_OUTCOMES:
            return False
        if facts.committed or len(attempts) >= settings.MAX_ATTEMPTS:
            return False
        if facts.deadline_at - now < settings.MIN_RETRY_REMAINING_MS:
            return False
        if attempts[-1].sent_bytes and not facts.replayable:
            return False
        return facts.idempotent or all(map(was_not_run, attempts))

    def _withdraw(self, service_id: ServiceId, now: Millis) -> bool:
        budget = self._budgets_by_service.get(service_id)
        return budget is not None and budget.withdraw(now=now)

"""Decision on retries, limited to a share of recent requests."""

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

# Outcomes after which another target may succeed.
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
    """Properties of a request on which the retry decision depends.

    `replayable` is set if the body can be sent again from its start,
    `committed` once a part of an answer was sent to the caller.
    """

    service_id: ServiceId
    idempotent: bool
    deadline_at: Millis
    replayable: bool = True
    committed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryDecision:
    """Whether to retry at a target not in `excluded`, and the outcome."""

    retry: bool
    outcome: RequestOutcome
    excluded: frozenset[TargetId]


class RetryBudget:
    """Allow retries up to a share of recent requests.

    Both counts decay with the time constant `RETRY_DECAY_MS`. An extra
    `RETRY_RESERVE` retries are allowed, so that a nearly idle service can
    retry at all.
    """

    def __init__(self, *, share: float) -> None:
        """Start without requests."""
        self.share = share
        self._requests: float = 0
        self._retries: float = 0
        self._decayed_at = Millis(0)

    def deposit(self, *, now: Millis) -> None:
        """Count a request that is not a retry."""
        self._decay(now)
        self._requests += 1

    def withdraw(self, *, now: Millis) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        self._decay(now)
        allowed = self.share * self._requests + settings.RETRY_RESERVE
        if self._retries + 1 > allowed:
            return False
        self._retries += 1
        return True

    def _decay(self, now: Millis) -> None:
        elapsed = now - self._decayed_at
        if elapsed < settings.RETRY_DECAY_STEP_MS:
            return
        factor = math.exp(-elapsed / settings.RETRY_DECAY_MS)
        self._requests *= factor
        self._retries *= factor
        self._decayed_at = now


class RetryPolicy:
    """Decide after each attempt whether the request is retried."""

    def __init__(self) -> None:
        """Start without a declaration: nothing is retried."""
        self._budgets_by_service: dict[ServiceId, RetryBudget] = {}

    def set_declaration(self, declaration: Declaration) -> None:
        """Apply the retry shares; budgets of existing services keep counts."""
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
        """Decide whether to retry a request whose last attempt has ended."""
        retry = self._is_eligible(facts, attempts, now)
        if retry and attempts[-1].sent_bytes:
            # An attempt that sent nothing added no load, so its retry is free.
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

"""Simulated entry processes with keyed requests, for randomised runs.

Like the real entry process, an entry requests a claim from its control
process before it runs a request, and handles the loss of the control
process. The runner stands for all targets and counts the runs of each key.
"""

import dataclasses
import random
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

from chicorybridge import settings
from chicorybridge.claims.claim_messages import (
    AttemptId,
    ClaimDecided,
    ClaimFinished,
    ClaimRequested,
    ClaimVerdict,
    ClaimWithdrawn,
    EntryId,
    KeptAnswer,
)
from chicorybridge.claims.request_keys import KeyOwner
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import Digest, HostId, RequestKey
from chicorybridge.common.outcomes import RequestOutcome

# Bounds of the time that a request runs.
RUN_MS = (25, 3000)

# An entry that has no decision after this time withdraws its request.
DECISION_TIMEOUT_MS = (
    settings.CLAIM_OUTCOME_TIMEOUT_MS + settings.CLAIM_DECISION_TIMEOUT_MS
)

DeliverMessage = Callable[[HostId, object], None]


@dataclasses.dataclass(kw_only=True, slots=True)
class Caller:
    """One caller with one key, and the outcomes reported to it.

    `issuer` is the host whose prefix the key has; the first attempt goes
    to it. `pause_ms` is the delay from an outcome to the next attempt.
    """

    key: RequestKey
    fingerprint: Digest
    next_at: float
    issuer: HostId
    attempts: int = 0
    pause_ms: float = 0
    outcomes: list[RequestOutcome] = dataclasses.field(default_factory=list)
    answer: KeptAnswer | None = None

    def record_outcome(self, outcome: RequestOutcome, *, now: float) -> None:
        """Record the outcome of an attempt and schedule the next one."""
        self.outcomes.append(outcome)
        self.next_at = now + self.pause_ms


@dataclasses.dataclass(kw_only=True, slots=True)
class KeyedAttempt:
    """One attempt of a caller at one entry."""

    attempt_id: AttemptId
    caller: Caller
    requested_at: Millis
    ends_at: Millis | None = None
    outcome: RequestOutcome = RequestOutcome.unknown
    owner: KeyOwner | None = None


class Runner:
    """Run requests and count the runs of each key.

    It sheds `shed_share` of the requests without a run and cuts the
    answers of `cut_share` after the run.
    """

    def __init__(
        self, *, rng: random.Random, shed_share: float, cut_share: float
    ) -> None:
        """Start without runs; the shares are from 0 to 1."""
        self._shed_share = shed_share
        self._cut_share = cut_share
        self.runs_by_key: Counter[RequestKey] = Counter()
        self.answers_by_key: dict[RequestKey, KeptAnswer] = {}
        self._rng = rng

    def run(self, key: RequestKey) -> RequestOutcome:
        """Run a request or shed it; return the outcome that the entry sees."""
        draw = self._rng.random()
        if draw < self._shed_share:
            return RequestOutcome.not_run
        self.runs_by_key[key] += 1
        require(
            promise='a keyed request runs at most once',
            holds=self.runs_by_key[key] == 1,
        )
        serial = len(self.answers_by_key)
        self.answers_by_key[key] = KeptAnswer(
            status=HTTPStatus.OK, body=f'{key}:{serial}'.encode()
        )
        if draw < self._shed_share + self._cut_share:
            return RequestOutcome.unknown
        return RequestOutcome.complete


class KeyedEntry:
    """Request claims, run requests and report outcomes, for one host."""

    def __init__(
        self,
        *,
        host_id: HostId,
        entry_id: EntryId,
        runner: Runner,
        rng: random.Random,
        deliver: DeliverMessage,
    ) -> None:
        """Start without attempts; `deliver` sends to the control process."""
        self.entry_id = entry_id
        self._host_id = host_id
        self._runner = runner
        self._rng = rng
        self._deliver = deliver
        self._waiting_by_id: dict[AttemptId, KeyedAttempt] = {}
        self._running_by_id: dict[AttemptId, KeyedAttempt] = {}

    def request_claim(self, caller: Caller, *, now: Millis) -> None:
        """Accept a request of a caller and request its claim."""
        attempt_id = AttemptId(
            f'{self.entry_id} {caller.key} {caller.attempts}'
        )
        caller.attempts += 1
        self._waiting_by_id[attempt_id] = KeyedAttempt(
            attempt_id=attempt_id, caller=caller, requested_at=now
        )
        request = ClaimRequested(
            attempt_id=attempt_id,
            entry_id=self.entry_id,
            key=caller.key,
            fingerprint=caller.fingerprint,
        )
        self._deliver(self._host_id, request)

    def handle_decision(self, decided: ClaimDecided, *, now: Millis) -> None:
        """Run or answer the attempt if it still waits for a decision."""
        attempt = self._waiting_by_id.pop(decided.attempt_id, None)
        if attempt is None:
            return
        attempt.owner = decided.owner
        if decided.verdict is ClaimVerdict.run:
            self._start_run(attempt, now=now)
        elif decided.refusal is None:
            attempt.caller.answer = decided.answer
            self._report_outcome(
                attempt.caller, RequestOutcome.complete, now=now
            )
        else:
            self._report_outcome(
                attempt.caller, decided.refusal.outcome, now=now
            )

    def tick(self, *, now: Millis) -> None:
        """End the runs that are due; withdraw requests without a decision."""
        for running in tuple(self._running_by_id.values()):
            if running.ends_at is not None and running.ends_at <= now:
                self._end(running, now=now)
        for waiting in tuple(self._waiting_by_id.values()):
            if now - waiting.requested_at >= DECISION_TIMEOUT_MS:
                self._withdraw(waiting, now=now)

    def handle_control_loss(self, *, now: Millis) -> None:
        """Report all waiting attempts as unknown: the control process ended."""
        waiting = tuple(self._waiting_by_id.values())
        self._waiting_by_id.clear()
        for attempt in waiting:
            self._report_outcome(
                attempt.caller, RequestOutcome.unknown, now=now
            )

    def crash(self, *, now: Millis) -> None:
        """End at once: callers lose their connections."""
        self.handle_control_loss(now=now)
        for attempt in tuple(self._running_by_id.values()):
            attempt.caller.record_outcome(RequestOutcome.unknown, now=now)
        self._running_by_id.clear()

    def _start_run(self, attempt: KeyedAttempt, *, now: Millis) -> None:
        if now - attempt.requested_at >= DECISION_TIMEOUT_MS:
            # This process was paused; the caller no longer waits.
            self._withdraw(attempt, now=now)
            return
        attempt.outcome = self._runner.run(attempt.caller.key)
        attempt.ends_at = Millis(now + self._rng.uniform(*RUN_MS))
        self._running_by_id[attempt.attempt_id] = attempt

    def _withdraw(self, attempt: KeyedAttempt, *, now: Millis) -> None:
        self._waiting_by_id.pop(attempt.attempt_id, None)
        withdrawn = ClaimWithdrawn(attempt_id=attempt.attempt_id)
        self._deliver(self._host_id, withdrawn)
        self._report_outcome(attempt.caller, RequestOutcome.unknown, now=now)

    def _end(self, attempt: KeyedAttempt, *, now: Millis) -> None:
        self._running_by_id.pop(attempt.attempt_id)
        key = attempt.caller.key
        complete = attempt.outcome is RequestOutcome.complete
        answer = self._runner.answers_by_key[key] if complete else None
        if attempt.owner is not None:
            finished = ClaimFinished(
                attempt_id=attempt.attempt_id,
                key=key,
                owner=attempt.owner,
                outcome=attempt.outcome,
                answer=answer,
            )
            self._deliver(self._host_id, finished)
        if complete:
            attempt.caller.answer = answer
        self._report_outcome(attempt.caller, attempt.outcome, now=now)

    def _report_outcome(
        self, caller: Caller, outcome: RequestOutcome, *, now: Millis
    ) -> None:
        runs = self._runner.runs_by_key[caller.key]
        if outcome is RequestOutcome.not_run:
            require(
                promise='a request reported as not run has not run',
                holds=runs == 0,
            )
        if outcome is RequestOutcome.complete:
            expected = self._runner.answers_by_key.get(caller.key)
            require(
                promise='each caller gets the complete answer to its own key',
                holds=expected is not None and caller.answer == expected,
            )
        caller.record_outcome(outcome, now=now)

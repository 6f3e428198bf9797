"""A model of entry processes with keyed requests, for randomised runs.

An entry asks the claims of its host before it runs a request, as the
entry process does, and follows the same rules on the loss of its control
process. The runner stands for all targets and counts runs by key.
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

RUN_MS = (25, 3000)

# How long an entry waits for any decision before it gives up itself.
ENTRY_WAIT_MS = (
    settings.CLAIM_OUTCOME_TIMEOUT_MS + settings.CLAIM_DECISION_TIMEOUT_MS
)

Deliver = Callable[[HostId, object], None]


@dataclasses.dataclass(kw_only=True, slots=True)
class Caller:
    """One caller with one key; `outcomes` holds the outcomes it was told."""

    key: RequestKey
    fingerprint: Digest
    next_at: float
    issuer: HostId
    attempts: int = 0
    pause_ms: float = 0
    outcomes: list[RequestOutcome] = dataclasses.field(default_factory=list)
    answer: KeptAnswer | None = None

    def take(self, outcome: RequestOutcome, *, now: float) -> None:
        """Take in the outcome of one try and plan the next one."""
        self.outcomes.append(outcome)
        self.next_at = now + self.pause_ms


@dataclasses.dataclass(kw_only=True, slots=True)
class KeyedTry:
    """One try at one entry, from its request to its end."""

    attempt_id: AttemptId
    caller: Caller
    asked_at: Millis
    ends_at: Millis | None = None
    outcome: RequestOutcome = RequestOutcome.unknown
    owner: KeyOwner | None = None


class Runner:
    """Run requests and count the runs of each key.

    `shed_share` of the requests are shed, and the answers of `cut_share`
    are cut.
    """

    def __init__(
        self, *, rng: random.Random, shed_share: float, cut_share: float
    ) -> None:
        """Start without runs."""
        self._shed_share = shed_share
        self._cut_share = cut_share
        self.runs_by_key: Counter[RequestKey] = Counter()
        self.answers_by_key: dict[RequestKey, KeptAnswer] = {}
        self._rng = rng

    def run(self, key: RequestKey) -> RequestOutcome:
        """Run a request or shed it; return what the entry sees of it."""
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
    """Ask for claims, run requests and tell callers, for one host."""

    def __init__(
        self,
        *,
        host_id: HostId,
        entry_id: EntryId,
        runner: Runner,
        rng: random.Random,
        deliver: Deliver,
    ) -> None:
        """Start without tries; `deliver` passes messages to the control."""
        self.entry_id = entry_id
        self._host_id = host_id
        self._runner = runner
        self._rng = rng
        self._deliver = deliver
        self._waiting: dict[AttemptId, KeyedTry] = {}
        self._running: dict[AttemptId, KeyedTry] = {}

    def request_claim(self, caller: Caller, *, now: Millis) -> None:
        """Take a request of a caller and ask for its claim."""
        attempt_id = AttemptId(
            f'{self.entry_id} {caller.key} {caller.attempts}'
        )
        caller.attempts += 1
        self._waiting[attempt_id] = KeyedTry(
            attempt_id=attempt_id, caller=caller, asked_at=now
        )
        request = ClaimRequested(
            attempt_id=attempt_id,
            entry_id=self.entry_id,
            key=caller.key,
            fingerprint=caller.fingerprint,
        )
        self._deliver(self._host_id, request)

    def handle_decision(self, decided: ClaimDecided, *, now: Millis) -> None:
        """Take in the decision of a try that still waits for it."""
        attempt = self._waiting.pop(decided.attempt_id, None)
        if attempt is None:
            return
        attempt.owner = decided.owner
        if decided.verdict is ClaimVerdict.run:
            self._run(attempt, now=now)
        elif decided.refusal is None:
            attempt.caller.answer = decided.answer
            self._tell(attempt.caller, RequestOutcome.complete, now=now)
        else:
            self._tell(attempt.caller, decided.refusal.outcome, now=now)

    def tick(self, *, now: Millis) -> None:
        """End the runs that are over and give up what waits too long."""
        for running in tuple(self._running.values()):
            if running.ends_at is not None and running.ends_at <= now:
                self._end(running, now=now)
        for waiting in tuple(self._waiting.values()):
            if now - waiting.asked_at >= ENTRY_WAIT_MS:
                self._withdraw(waiting, now=now)

    def handle_control_loss(self, *, now: Millis) -> None:
        """Refuse what waits for the control process that has ended."""
        waiting = tuple(self._waiting.values())
        self._waiting.clear()
        for attempt in waiting:
            self._tell(attempt.caller, RequestOutcome.unknown, now=now)

    def crash(self, *, now: Millis) -> None:
        """End at once: callers see their connections break."""
        self.handle_control_loss(now=now)
        for attempt in tuple(self._running.values()):
            attempt.caller.take(RequestOutcome.unknown, now=now)
        self._running.clear()

    def _run(self, attempt: KeyedTry, *, now: Millis) -> None:
        if now - attempt.asked_at >= ENTRY_WAIT_MS:
            # This process was paused: the caller has long gone.
            self._withdraw(attempt, now=now)
            return
        attempt.outcome = self._runner.run(attempt.caller.key)
        attempt.ends_at = Millis(now + self._rng.uniform(*RUN_MS))
        self._running[attempt.attempt_id] = attempt

    def _withdraw(self, attempt: KeyedTry, *, now: Millis) -> None:
        self._waiting.pop(attempt.attempt_id, None)
        withdrawn = ClaimWithdrawn(attempt_id=attempt.attempt_id)
        self._deliver(self._host_id, withdrawn)
        self._tell(attempt.caller, RequestOutcome.unknown, now=now)

    def _end(self, attempt: KeyedTry, *, now: Millis) -> None:
        self._running.pop(attempt.attempt_id)
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
        self._tell(attempt.caller, attempt.outcome, now=now)

    def _tell(
        self, caller: Caller, outcome: RequestOutcome, *, now: Millis
    ) -> None:
        runs = self._runner.runs_by_key[caller.key]
        if outcome is RequestOutcome.not_run:
            require(promise='told not-run means not run', holds=runs == 0)
        if outcome is RequestOutcome.complete:
            first = self._runner.answers_by_key.get(caller.key)
            require(
                promise='each caller gets its own whole answer',
                holds=first is not None and caller.answer == first,
            )
        caller.take(outcome, now=now)

"""Entry-process client that requests claims from the control process."""

import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from chicorybridge.claims.claim_messages import (
    AttemptId,
    ClaimDecided,
    ClaimFinished,
    ClaimRequested,
    ClaimWithdrawn,
    EntryId,
    KeptAnswer,
)
from chicorybridge.common.clocks import Clock, as_seconds
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.identities import RequestKey
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.entry.answers import BufferedAnswer
from chicorybridge.entry.calls import Call

ATTEMPT_ID_BITS = 64

# Queues a message for the control process; returns whether it was queued.
Post = Callable[[Any], Awaitable[bool]]


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingClaim:
    """A requested claim without a decision.

    `resolved` is set when the decision arrives or when the connection to
    the control process is lost; in that case `decision` stays `None`.
    """

    resolved: curio.Event
    decision: ClaimDecided | None = None


class ClaimClient:
    """Request claims and report the outcomes of the requests."""

    def __init__(
        self,
        *,
        entry_id: EntryId,
        clock: Clock,
        rng: random.Random,
        post: Post,
    ) -> None:
        """Create a client without pending claims.

        `post` queues a message for the control process; it returns `False`
        if there is no connection or the queue is full.
        """
        self._entry_id = entry_id
        self._clock = clock
        self._rng = rng
        self._post = post
        self._pending_by_id: dict[AttemptId, PendingClaim] = {}

    async def claim(self, call: Call, key: RequestKey) -> ClaimDecided:
        """Request a claim and return the decision.

        Raises `RequestError` if the request cannot be queued, if the control
        process is disconnected, or if no decision arrives before the
        deadline of the request. The claim is then withdrawn, and the request
        must not be sent to a target.
        """
        request = ClaimRequested(
            attempt_id=self._new_attempt_id(),
            entry_id=self._entry_id,
            key=key,
            fingerprint=call.digest,
        )
        # The decision may arrive before `_post` returns.
        pending = PendingClaim(resolved=curio.Event())
        self._pending_by_id[request.attempt_id] = pending
        decided = False
        try:
            await self._wait_for_decision(pending, request, call)
            decided = pending.decision is not None
        finally:
            self._pending_by_id.pop(request.attempt_id)
            if not decided:
                await self._post(ClaimWithdrawn(attempt_id=request.attempt_id))
        if pending.decision is None:
            raise _unavailable_error('no claim decision within the deadline')
        return pending.decision

    async def report_outcome(
        self,
        decision: ClaimDecided,
        key: RequestKey,
        *,
        outcome: RequestOutcome,
        answer: BufferedAnswer | None,
    ) -> None:
        """Report the outcome of a request that was allowed to run."""
        if decision.owner is None:
            return
        await self._post(
            ClaimFinished(
                attempt_id=decision.attempt_id,
                key=key,
                owner=decision.owner,
                outcome=outcome,
                answer=_to_kept_answer(answer),
            )
        )

    async def handle_decision(self, decision: ClaimDecided) -> None:
        """Pass a decision to its pending claim; ignore it if there is none."""
        pending = self._pending_by_id.get(decision.attempt_id)
        if pending is None:
            return
        pending.decision = decision
        await pending.resolved.set()

    async def cancel_pending(self) -> None:
        """End all waits; called when the control connection is lost."""
        for pending in tuple(self._pending_by_id.values()):
            await pending.resolved.set()

    async def _wait_for_decision(
        self, pending: PendingClaim, request: ClaimRequested, call: Call
    ) -> None:
        if not await self._post(request):
            raise _unavailable_error(
                'no connection to the control process, or its queue is full'
            )
        remaining_ms = call.deadline_at - self._clock.now()
        async with curio.ignore_after(as_seconds(max(0, remaining_ms))):
            await pending.resolved.wait()

    def _new_attempt_id(self) -> AttemptId:
        number = self._rng.getrandbits(ATTEMPT_ID_BITS)
        return AttemptId(f'{self._entry_id}/{number:x}')


def _to_kept_answer(answer: BufferedAnswer | None) -> KeptAnswer | None:
    if answer is None:
        return None
    return KeptAnswer(
        status=answer.status,
        headers=tuple(answer.headers),
        body=answer.body,
    )


def _unavailable_error(detail: str) -> RequestError:
    return RequestError(code=ErrorCode.claim_unavailable, detail=detail)

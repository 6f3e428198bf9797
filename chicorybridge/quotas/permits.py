"""Get permits for requests of limited workspaces, and return unused ones."""

import dataclasses
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import curio

from chicorybridge.common.clocks import (
    MILLIS_PER_SECOND,
    Clock,
    Millis,
    as_seconds,
)
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import HostId, WorkspaceId
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.quotas.askers import Asker, Inquiry, Question
from chicorybridge.quotas.granters import Granter
from chicorybridge.quotas.keys import CallerWorkspace
from chicorybridge.quotas.messages import (
    PermitHandover,
    PermitReply,
    PermitRequest,
    PermitReturn,
)
from chicorybridge.quotas.settings import PERMIT_MEMORY_MS

NUMBER_BITS = 62


class SendMessage(Protocol):
    """Send a message to one host, if it is known."""

    def __call__(self, message: Any, host_id: HostId) -> None:
        """Send `message`."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """The permit of a request, who granted it and after which wait."""

    number: int
    granter_id: HostId
    granted_at: Millis
    wait_ms: float


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Expected:
    """A reply that a request waits for."""

    granter_id: HostId
    arrived: curio.Event = dataclasses.field(default_factory=curio.Event)
    reply: PermitReply | None = None


def _drop(message: Any, host_id: HostId) -> None:
    """Send nothing: the process has not been connected yet."""


class Permits:
    """Ask granters for permits, and be one for other hosts."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        asker: Asker,
        granter: Granter,
        is_used: Callable[[], bool],
    ) -> None:
        """Start without permits; `send` is to be set before the first one.

        `is_used` returns whether any workspaces are known.
        """
        self._is_used = is_used
        self.send: SendMessage = _drop
        self.granter = granter
        # Requests by where their permits came from, for metrics.
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._asker = asker
        self._host_id = asker.members.host_id
        # Differs from the numbers of an earlier process of this host.
        self._number = rng.getrandbits(NUMBER_BITS)
        self._expected_by_number: dict[int, Expected] = {}
        # Numbers whose replies came too late or not yet, and since when.
        self._abandoned: dict[int, Millis] = {}
        # Requests that wait for a zone that refused to have a permit again.
        self._waiting: Counter[WorkspaceId] = Counter()
        self._arrived: list[Expected] = []

    async def acquire(
        self, workspace: CallerWorkspace, *, max_wait_ms: float
    ) -> Permit | None:
        """Return a permit for a request, `None` if it needs none.

        Raise `RefusalError` if there is none within `max_wait_ms`.
        """
        if not workspace.is_limited:
            return None
        inquiry = Inquiry(
            asker=self._asker, workspace_id=workspace.workspace_id
        )
        started_at = self._clock.now()
        while True:
            permit = await self._ask_all(inquiry, started_at)
            if permit is not None:
                return permit
            waits_until = Millis(started_at + max_wait_ms)
            if not self._may_wait(inquiry, workspace, waits_until):
                raise self._refusal(inquiry, workspace, started_at)
            await self._wait(inquiry)

    def give_back(self, permit: Permit) -> None:
        """Return the permit of a request that was not run."""
        self._return(permit.number, permit.granter_id)

    def receive(self, message: Any, sender: HostId) -> None:
        """Handle a message of another host, unless of an unknown type."""
        now = self._clock.now()
        if isinstance(message, PermitRequest):
            self.send(
                self.granter.reply(message, sender=sender, now=now), sender
            )
        elif isinstance(message, PermitReply):
            self._receive_reply(message, sender)
        elif isinstance(message, PermitReturn):
            self.granter.take_back(message, sender=sender, now=now)
        elif isinstance(message, PermitHandover):
            self.granter.receive_levels(message, now=now)

    async def wake(self) -> None:
        """Continue the requests whose replies have arrived."""
        while self._arrived:
            await self._arrived.pop().arrived.set()

    async def tick(self) -> None:
        """Hand buckets over and forget what is old; call this regularly."""
        if not self._is_used():
            return
        await self.wake()
        now = self._clock.now()
        for host_id, handover in self.granter.tick(now=now):
            self.counts['handed_over'] += len(handover.levels_by_id)
            self.send(handover, host_id)
        self._asker.forget_old(now=now)
        for number, since in tuple(self._abandoned.items()):
            if now - since <= PERMIT_MEMORY_MS:
                break
            self._abandoned.pop(number)

    def _may_wait(
        self, inquiry: Inquiry, workspace: CallerWorkspace, until: Millis
    ) -> bool:
        """Return whether a permit is likely before `until`."""
        now = self._clock.now()
        if not inquiry.has_reply or now + inquiry.pause_ms(now=now) > until:
            return False
        permits = workspace.rate_per_s * as_seconds(until - now)
        return self._waiting[workspace.workspace_id] < max(1, permits)

    async def _wait(self, inquiry: Inquiry) -> None:
        self._waiting[inquiry.workspace_id] += 1
        try:
            pause_ms = inquiry.pause_ms(now=self._clock.now())
            await curio.sleep(as_seconds(pause_ms))
        finally:
            self._waiting[inquiry.workspace_id] -= 1
        inquiry.ask_again()

    async def _ask_all(
        self, inquiry: Inquiry, started_at: Millis
    ) -> Permit | None:
        """Ask granters in turn until one gives a permit."""
        while True:
            question = inquiry.next_question(now=self._clock.now())
            if question is None:
                return None
            self._number += 1
            number = self._number
            reply = await self._ask(question, number, inquiry.workspace_id)
            now = self._clock.now()
            if inquiry.record_reply(question, reply, now=now):
                self.counts[self._source(question)] += 1
                return Permit(
                    number=number,
                    granter_id=question.granter_id,
                    granted_at=now,
                    wait_ms=now - started_at,
                )

    async def _ask(
        self, question: Question, number: int, workspace_id: WorkspaceId
    ) -> PermitReply | None:
        """Return the reply of a granter, `None` if it comes too late."""
        request = PermitRequest(number=number, workspace_id=workspace_id)
        if question.granter_id == self._host_id:
            return self.granter.reply(
                request, sender=self._host_id, now=self._clock.now()
            )
        expected = Expected(granter_id=question.granter_id)
        self._expected_by_number[number] = expected
        is_taken = False
        try:
            await self._await_reply(request, expected, question.timeout_ms)
            is_taken = True
        finally:
            self._expected_by_number.pop(number)
            if expected.reply is None:
                self._abandoned[number] = self._clock.now()
            elif not is_taken and expected.reply.is_granted:
                self._return(number, question.granter_id)
        self.counts['unanswered'] += expected.reply is None
        return expected.reply

    async def _await_reply(
        self, request: PermitRequest, expected: Expected, timeout_ms: float
    ) -> None:
        # The second one is for a lost datagram.
        for _ in range(2):
            self.send(request, expected.granter_id)
            async with curio.ignore_after(as_seconds(timeout_ms / 2)):
                await expected.arrived.wait()
            if expected.reply is not None:
                return

    def _receive_reply(self, reply: PermitReply, sender: HostId) -> None:
        expected = self._expected_by_number.get(reply.number)
        if expected is not None and expected.granter_id == sender:
            expected.reply = reply
            self._arrived.append(expected)
        elif self._abandoned.pop(reply.number, None) and reply.is_granted:
            # The request has another permit by now, or was refused.
            self.counts['late'] += 1
            self._return(reply.number, sender)

    def _return(self, number: int, granter_id: HostId) -> None:
        message = PermitReturn(number=number)
        self.counts['given_back'] += 1
        if granter_id == self._host_id:
            now = self._clock.now()
            self.granter.take_back(message, sender=granter_id, now=now)
        else:
            self.send(message, granter_id)

    def _source(self, question: Question) -> str:
        if question.granter_id == self._host_id:
            return 'own'
        if question.zone_id == self._asker.members.zone_ids[0]:
            return 'zone'
        is_far = self._asker.members.is_far(question.zone_id)
        return 'far' if is_far else 'region'

    def _refusal(
        self,
        inquiry: Inquiry,
        workspace: CallerWorkspace,
        started_at: Millis,
    ) -> RefusalError:
        now = self._clock.now()
        facts: dict[str, Any] = {
            'workspace': workspace.workspace_id,
            'rate_per_s': workspace.rate_per_s,
            'asked_ms': round(now - started_at, 1),
        }
        if not inquiry.has_reply:
            self.counts['no_reply'] += 1
            return RefusalError(
                code=ErrorCode.quota_unknown,
                detail='no host that limits the requests of workspaces replied',
                facts=facts,
            )
        self.counts['refused'] += 1
        # Those refused before come again earlier.
        ahead = self._asker.count_refused(workspace.workspace_id)
        spread_ms = ahead / workspace.rate_per_s * MILLIS_PER_SECOND
        wait_ms = inquiry.pause_ms(now=now) + spread_ms
        facts['next_permit_ms'] = round(inquiry.pause_ms(now=now))
        facts['refused_before'] = ahead
        return RefusalError(
            code=ErrorCode.workspace_limit,
            detail='the workspace is over its rate',
            retry_after_ms=wait_ms,
            facts=facts,
        )

"""Whom a host asks for the permit of a request, and what it remembers."""

import dataclasses
import math

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, WorkspaceId, ZoneId
from chicorybridge.quotas.members import Members
from chicorybridge.quotas.messages import PermitReply
from chicorybridge.quotas.settings import (
    FAR_PERMIT_TIMEOUT_MS,
    MAX_REFERRALS,
    MIN_REFUSAL_MS,
    NEAR_PERMIT_TIMEOUT_MS,
    SILENT_GRANTER_MS,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """A granter to ask, and how long to wait for its reply."""

    zone_id: ZoneId
    granter_id: HostId
    timeout_ms: float


class Asker:
    """What a host knows about the granters of all workspaces."""

    def __init__(self, *, members: Members) -> None:
        """Ask the granters that `members` names."""
        self.members = members
        # Until when zones have refused permits.
        self._refused_until: dict[tuple[WorkspaceId, ZoneId], Millis] = {}
        self._silent_until: dict[HostId, Millis] = {}
        # Refusals since the last permit, which come before a later request.
        self._refused_counts: dict[WorkspaceId, int] = {}

    def refused_until(
        self, workspace_id: WorkspaceId, zone_id: ZoneId
    ) -> Millis:
        """Return when a zone is to be asked again."""
        return self._refused_until.get(
            (workspace_id, zone_id), Millis(-math.inf)
        )

    def is_silent(self, granter_id: HostId, *, now: Millis) -> bool:
        """Return whether a granter did not reply lately."""
        return now < self._silent_until.get(granter_id, -math.inf)

    def record_refusal(
        self,
        workspace_id: WorkspaceId,
        zone_id: ZoneId,
        *,
        wait_ms: float,
        now: Millis,
    ) -> None:
        """Record that a zone has no permit for `wait_ms`."""
        until = Millis(now + max(MIN_REFUSAL_MS, wait_ms))
        self._refused_until[workspace_id, zone_id] = until

    def record_silence(self, granter_id: HostId, *, now: Millis) -> None:
        """Record that a granter did not reply."""
        self._silent_until[granter_id] = Millis(now + SILENT_GRANTER_MS)

    def record_permit(self, workspace_id: WorkspaceId) -> None:
        """Record that a request got a permit."""
        self._refused_counts.pop(workspace_id, None)

    def count_refused(self, workspace_id: WorkspaceId) -> int:
        """Count a refused request; return how many were refused before it."""
        count = self._refused_counts.get(workspace_id, 0)
        self._refused_counts[workspace_id] = count + 1
        return count

    def forget_old(self, *, now: Millis) -> None:
        """Forget refusals and silences that are over."""
        for key, until in tuple(self._refused_until.items()):
            if until <= now:
                self._refused_until.pop(key)
                self._refused_counts.pop(key[0], None)
        for granter_id, until in tuple(self._silent_until.items()):
            if until <= now:
                self._silent_until.pop(granter_id)


class Inquiry:
    """The search for the permit of one request.

    The zones are asked in turn: the own one, those of its region, others.
    """

    def __init__(self, *, asker: Asker, workspace_id: WorkspaceId) -> None:
        """Start with the own zone."""
        self.workspace_id = workspace_id
        # Whether any granter has refused, now or lately.
        self.has_reply = False
        self._asker = asker
        self._members = asker.members
        self._asked_ids: set[HostId] = set()
        self._referrals: list[Question] = []
        self._referral_count = 0

    def next_question(self, *, now: Millis) -> Question | None:
        """Return whom to ask next, `None` if all zones were asked."""
        if self._referrals:
            return self._asked(self._referrals.pop())
        for zone_id in self._members.zone_ids:
            until = self._asker.refused_until(self.workspace_id, zone_id)
            if now < until:
                self.has_reply = True
                continue
            question = self._question(zone_id, now)
            if question is not None:
                return self._asked(question)
        return None

    def record_reply(
        self, question: Question, reply: PermitReply | None, *, now: Millis
    ) -> bool:
        """Record a reply, `None` without one; return if it is a permit."""
        if reply is None:
            self._asker.record_silence(question.granter_id, now=now)
            return False
        if reply.is_granted:
            self._asker.record_permit(self.workspace_id)
            return True
        if reply.granter_id is not None:
            self._refer(question, reply.granter_id, now)
            return False
        self.has_reply = True
        self._asker.record_refusal(
            self.workspace_id,
            question.zone_id,
            wait_ms=reply.wait_ms,
            now=now,
        )
        return False

    def pause_ms(self, *, now: Millis) -> float:
        """Return how long no zone that refused is likely to have a permit."""
        waits_ms = [
            self._asker.refused_until(self.workspace_id, zone_id) - now
            for zone_id in self._members.zone_ids
        ]
        return min((wait for wait in waits_ms if wait > 0), default=0)

    def ask_again(self) -> None:
        """Ask those zones again that refuse no longer."""
        self._asked_ids.clear()
        self._referral_count = 0

    def _question(self, zone_id: ZoneId, now: Millis) -> Question | None:
        for granter_id in self._members.granters(
            zone_id, self.workspace_id, now=now
        ):
            if self._asker.is_silent(granter_id, now=now):
                continue
            # The zone has replied if its first host that isn't silent did.
            if granter_id in self._asked_ids:
                return None
            return self._build_question(zone_id, granter_id)
        return None

    def _refer(
        self, question: Question, granter_id: HostId, now: Millis
    ) -> None:
        self._referral_count += 1
        is_known = granter_id in self._asked_ids
        if is_known or self._referral_count > MAX_REFERRALS:
            return
        if not self._asker.is_silent(granter_id, now=now):
            self._referrals.append(
                self._build_question(question.zone_id, granter_id)
            )

    def _asked(self, question: Question) -> Question:
        self._asked_ids.add(question.granter_id)
        return question

    def _build_question(self, zone_id: ZoneId, granter_id: HostId) -> Question:
        is_far = self._members.is_far(zone_id)
        timeout_ms = FAR_PERMIT_TIMEOUT_MS if is_far else NEAR_PERMIT_TIMEOUT_MS
        return Question(
            zone_id=zone_id, granter_id=granter_id, timeout_ms=timeout_ms
        )

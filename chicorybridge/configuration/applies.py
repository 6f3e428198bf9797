"""Applies: rollouts of declarations that operators requested.

The body is stored, then the version is written, then it is distributed.
It is accepted when every host that is not excused has confirmed it. After
an unanswered write the version is read back to see whether it took effect.
"""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import StreamError, require
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import (
    ApplyId,
    HostId,
    Version,
)
from chicorybridge.common.systems import CallStore, Effect, Effects, Emit, Send
from chicorybridge.configuration.apply_steps import (
    FINAL_STAGES,
    NONBLOCKING_REASONS,
    UNWRITTEN_STAGES,
    Apply,
    progress_of,
    rejected_progress,
    store_request_of,
    unknown_progress,
)
from chicorybridge.configuration.confirmations import Confirmations
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.distributors import Distributor
from chicorybridge.configuration.heads import (
    HEAD_KEY,
    head_from,
    version_key,
    version_of,
)
from chicorybridge.configuration.version_states import (
    VersionState,
    decode_declaration,
    digest_of,
)
from chicorybridge.configuration.versions import (
    ApplyRequested,
    ApplyStage,
    ApplyWatched,
    HeadVersion,
)
from chicorybridge.fleet.links import NEVER
from chicorybridge.fleet.members import Members
from chicorybridge.storage.stores import (
    UNAVAILABLE_OUTCOMES,
    StoreOutcome,
    StoreReply,
)

APPLY_TOKEN = 'rollouts:apply'


class Applies:
    """Carry out the applies that operators requested from this host."""

    def __init__(
        self,
        *,
        members: Members,
        version_state: VersionState,
        distributor: Distributor,
        confirmations: Confirmations,
    ) -> None:
        """Start without applies."""
        self.applies_by_id: dict[ApplyId, Apply] = {}
        self._members = members
        self._version_state = version_state
        self._distributor = distributor
        self._confirmations = confirmations

    def handle_request(
        self, message: ApplyRequested, *, sender: HostId, now: Millis
    ) -> Effects:
        """Start an apply, or continue one that is requested again."""
        apply = self.applies_by_id.get(message.apply_id)
        if apply is None:
            try:
                declaration = decode_declaration(message.body)
            except StreamError as error:
                return [
                    Send(to=sender, message=rejected_progress(message, error))
                ]
            apply = self._start(message, declaration, now)
        apply.request = message
        apply.operators.add(sender)
        apply.watched_at = now
        apply.step_due = NEVER
        return [*self._step(apply, now), *self._send_progress(apply)]

    def handle_watch(
        self, message: ApplyWatched, *, sender: HostId, now: Millis
    ) -> Effects:
        """Send the progress of an apply, and keep it from being dropped."""
        apply = self.applies_by_id.get(message.apply_id)
        if apply is None:
            return [Send(to=sender, message=unknown_progress(message))]
        apply.operators.add(sender)
        apply.watched_at = now
        return self._send_progress(apply)

    def tick(self, *, now: Millis) -> Effects:
        """Take the next step of every apply that has not ended."""
        effects: list[Effect] = []
        for apply in tuple(self.applies_by_id.values()):
            if self._is_abandoned(apply, now):
                self.applies_by_id.pop(apply.request.apply_id)
                continue
            if apply.stage not in FINAL_STAGES and now >= apply.step_due:
                effects.extend(self._step(apply, now))
                effects.extend(self._send_progress_if_due(apply, now))
        return effects

    def handle_reply(self, reply: StoreReply, *, now: Millis) -> Effects:
        """Handle the platform's reply to a step of an apply."""
        apply_id = ApplyId(reply.token.removeprefix(APPLY_TOKEN))
        apply = self.applies_by_id.get(apply_id)
        if apply is None:
            return ()
        apply.request_in_flight = False
        apply.store_unavailable = reply.outcome in UNAVAILABLE_OUTCOMES
        apply.step_due = Millis(now + settings.STORE_RETRY_DELAY_MS)
        effects = self._advance(apply, reply, now)
        return [*effects, *self._send_progress(apply)]

    def _start(
        self, message: ApplyRequested, declaration: Declaration, now: Millis
    ) -> Apply:
        head = HeadVersion(
            version=Version(message.base + 1),
            digest=digest_of(message.body),
            apply_id=message.apply_id,
        )
        apply = Apply(
            request=message,
            head=head,
            declaration=declaration,
            watched_at=now,
        )
        self.applies_by_id[message.apply_id] = apply
        self._compare_with_newest(apply, self._version_state.newest, now)
        return apply

    def _step(self, apply: Apply, now: Millis) -> Effects:
        if apply.stage is ApplyStage.spreading:
            return self._await_confirmations(apply, now)
        if apply.stage in FINAL_STAGES or apply.request_in_flight:
            return ()
        apply.request_in_flight = True
        token = APPLY_TOKEN + apply.request.apply_id
        return [CallStore(token=token, request=store_request_of(apply))]

    def _advance(self, apply: Apply, reply: StoreReply, now: Millis) -> Effects:
        match apply.stage, reply.outcome:
            case ApplyStage.storing, StoreOutcome.done:
                apply.stage = ApplyStage.writing
            case ApplyStage.writing, StoreOutcome.done:
                return self._distribute(apply, apply.head, now)
            case ApplyStage.writing, (
                StoreOutcome.conflict | StoreOutcome.unanswered
            ):
                apply.stage = ApplyStage.settling
            case ApplyStage.settling, StoreOutcome.done:
                return self._resolve_write(apply, reply, now)
            case _:
                return ()
        return self._step(apply, now)

    def _resolve_write(
        self, apply: Apply, reply: StoreReply, now: Millis
    ) -> Effects:
        heads_by_key = {row.row_key: head_from(row) for row in reply.rows}
        newest = heads_by_key[HEAD_KEY]
        found = heads_by_key[version_key(apply.head.version)]
        if found is None and version_of(newest) == apply.request.base:
            # The write has had no effect yet and is repeated. If the first
            # request reaches the store after the repeated one, its condition
            # fails.
            apply.stage = ApplyStage.writing
            return self._step(apply, now)
        if found and found.digest == apply.head.digest:
            return self._distribute(apply, found, now)
        apply.stage = ApplyStage.conflict
        apply.winner = found or newest
        return ()

    def _compare_with_newest(
        self, apply: Apply, newest: HeadVersion | None, now: Millis
    ) -> None:
        # No request to the platform is needed for a version that this host
        # already knows to be durable.
        if newest is None or newest.version != apply.head.version:
            return
        if newest.digest == apply.head.digest:
            apply.head = newest
            apply.stage = ApplyStage.spreading
            apply.durable_at = now
            return
        apply.stage = ApplyStage.conflict
        apply.winner = newest

    def _distribute(
        self, apply: Apply, head: HeadVersion, now: Millis
    ) -> Effects:
        apply.head = head
        apply.stage = ApplyStage.spreading
        apply.durable_at = now
        apply.step_due = NEVER
        effects = list(self._distributor.record_head(head, now=now))
        if self._version_state.pending == head:
            self._distributor.collector = self._members.profile.host_id
            active = self._version_state.activate(apply.declaration)
            effects.extend(
                self._distributor.announce(active, origin=True, now=now)
            )
        return effects

    def _await_confirmations(self, apply: Apply, now: Millis) -> Effects:
        self._update_waiting(apply, now)
        if apply.waiting or self._members.is_cut_off(now):
            if now < apply.reports_due:
                return ()
            apply.reports_due = Millis(now + settings.REPORT_INTERVAL_MS)
            lagging = {status.host_id for status in apply.waiting}
            return self._confirmations.request_reports(
                lagging, apply.head.version, now=now
            )
        apply.stage = ApplyStage.accepted
        require(
            promise='an accepted configuration is confirmed on this host',
            holds=self._version_state.confirmed >= apply.head.version,
        )
        facts = {'version': apply.head.version, 'digest': apply.head.digest}
        event = Event(kind=EventKind.configuration_accepted, facts=facts)
        return [Emit(event=event)]

    def _update_waiting(self, apply: Apply, now: Millis) -> None:
        excused = set(apply.request.excused)
        # A silent host may still renew its lease by reading the head. After
        # this time it has read this version, or its lease has expired.
        if now - apply.durable_at >= settings.EXCUSE_AFTER_MS:
            excused |= self._members.peers.excused(now)
        statuses = self._confirmations.statuses(
            apply.head.version, excused=excused, now=now
        )
        apply.waiting = tuple(
            status
            for status in statuses
            if status.reason not in NONBLOCKING_REASONS
        )

    def _is_abandoned(self, apply: Apply, now: Millis) -> bool:
        if now - apply.watched_at <= settings.UNWATCHED_APPLY_TTL_MS:
            return False
        is_unwritten = (
            apply.stage in UNWRITTEN_STAGES and not apply.request_in_flight
        )
        return is_unwritten or apply.stage in FINAL_STAGES

    def _send_progress_if_due(self, apply: Apply, now: Millis) -> Effects:
        if apply.stage not in FINAL_STAGES and now < apply.progress_due:
            return ()
        apply.progress_due = Millis(now + settings.REPORT_INTERVAL_MS)
        return self._send_progress(apply)

    def _send_progress(self, apply: Apply) -> Effects:
        progress = progress_of(apply)
        return [
            Send(to=operator, message=progress)
            for operator in sorted(apply.operators)
        ]

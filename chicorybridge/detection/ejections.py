"""Ejections that this host decided: permits, trials and readmission.

The host that ejects a target holds permits for its slots until it is
readmitted. After a delay, an ejected target gets a trial: a small share of
its real requests. A failed trial doubles the delay until the next one; a
trial that succeeds ends the ejection.
"""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.common.systems import Effect, Effects, Emit, System
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.announcements import Announcements
from chicorybridge.detection.notices import Ejection, OwnEjection, TrialDelays
from chicorybridge.detection.permit_holdings import HoldingTable

# How long demand for permits stays urgent after `request_permits`.
URGENT_DEMAND_MS = 500.0


class Ejections(System):
    """Start and end ejections under permits; one per control process."""

    def __init__(
        self, *, announcements: Announcements, holdings: HoldingTable
    ) -> None:
        """Start without ejections."""
        # Targets that do not answer probes, so that a trial would fail.
        self.unresponsive: set[TargetId] = set()
        # Slots to hold permits for in advance, and slots of targets that are
        # leaving or down.
        self.reserved_by_service: dict[ServiceId, int] = {}
        self.unavailable_by_service: dict[ServiceId, int] = {}
        self._announcements = announcements
        self._holdings = holdings
        self._own_by_id: dict[TargetId, OwnEjection] = {}
        self._trial_delays = TrialDelays()
        self._urgent_until: dict[ServiceId, Millis] = {}

    def configure(
        self, declaration: Declaration, *, now: Millis
    ) -> tuple[Effect, ...]:
        """End ejections that a configuration does not allow.

        The configuration must be applied to the holdings before. Ejections
        of targets that are no longer declared end first, then those with
        the lowest `badness` that the remaining permits do not cover.
        """
        removed = sorted(self._own_by_id.keys() - declaration.targets_by_id)
        effects: list[Effect] = [
            self._end_ejection(target_id, now=now) for target_id in removed
        ]
        effects += self._end_excess(now=now)
        if not effects:
            return ()
        return (*effects, *self._announcements.publish(now=now))

    def is_settled(self, *, now: Millis) -> bool:
        """Return whether the configuration allows all ejections.

        False while any host may still apply one that it does not allow.
        """
        return all(
            self._holdings.free_slots(service_id, now=now) >= 0
            for service_id in self._holdings.by_service
        )

    def eject(
        self, ejection: Ejection, *, trial_delay_ms: float, now: Millis
    ) -> Effects:
        """Eject a target if permits allow it, or else request permits."""
        target_id = ejection.target_id
        own = self._own_by_id.get(target_id)
        if own is not None:
            return self._update(own, ejection, now=now)
        if self._announcements.ejector_of(target_id, now=now) is not None:
            return ()
        if not self._is_permitted(ejection, now=now):
            return ()
        self._holdings.use(ejection.service_id, ejection.slots, now=now)
        delay_ms = self._trial_delays.next_delay_ms(
            target_id, first_ms=trial_delay_ms, now=now
        )
        own = OwnEjection(
            ejection=ejection,
            trial_delay_ms=delay_ms,
            trial_at=Millis(now + delay_ms),
        )
        self._own_by_id[target_id] = own
        return self._publish_ejected(own, now=now)

    def request_permits(
        self,
        service_id: ServiceId,
        slots: int,
        *,
        for_verdict: bool = False,
        now: Millis,
    ) -> None:
        """Request permits from peers and the store for a likely ejection.

        `for_verdict` is true if there is a verdict and only permits are
        missing.
        """
        self._urgent_until[service_id] = Millis(now + URGENT_DEMAND_MS)
        self._holdings.set_demand(
            service_id, slots, urgent=True, for_verdict=for_verdict
        )

    def readmit(self, target_id: TargetId, *, now: Millis) -> Effects:
        """End an ejection of this host and announce it."""
        event = self._end_ejection(target_id, now=now)
        return (event, *self._announcements.publish(now=now))

    def tick(self, *, now: Millis) -> Effects:
        """End ejections beyond the floor or permits; start due trials."""
        self._reset_demand(now=now)
        if not self._own_by_id:
            return ()
        effects = self._end_excess(now=now)
        if not effects and not self._start_trials(now=now):
            return ()
        return (*effects, *self._announcements.publish(now=now))

    def _is_permitted(self, ejection: Ejection, *, now: Millis) -> bool:
        service_id = ejection.service_id
        ejected = self._announcements.ejected_slots(service_id, now=now)
        if ejected + ejection.slots > self._allowed_slots(service_id):
            return False
        free = self._holdings.free_slots(service_id, now=now)
        if free >= ejection.slots:
            return True
        self.request_permits(
            service_id, ejection.slots, for_verdict=True, now=now
        )
        return False

    def _allowed_slots(self, service_id: ServiceId) -> int:
        """Return the slots of a service that ejections may take up."""
        unavailable = self.unavailable_by_service.get(service_id, 0)
        return self._holdings.budget_of(service_id) - unavailable

    def _update(
        self, own: OwnEjection, ejection: Ejection, *, now: Millis
    ) -> Effects:
        """Renew an ejection after a failed trial, or for more zones."""
        current = own.ejection
        zones: tuple[ZoneId, ...] = ()
        if current.zones and ejection.zones:
            zones = tuple(sorted({*current.zones, *ejection.zones}))
        if zones == current.zones and not current.on_trial:
            return ()
        if current.on_trial:
            own.trial_delay_ms = self._trial_delays.next_delay_ms(
                current.target_id, first_ms=own.trial_delay_ms, now=now
            )
            own.trial_at = Millis(now + own.trial_delay_ms)
        own.ejection = dataclasses.replace(ejection, zones=zones)
        return self._publish_ejected(own, now=now)

    def _end_ejection(self, target_id: TargetId, *, now: Millis) -> Emit:
        ejection = self._own_by_id.pop(target_id).ejection
        self._announcements.own_by_id.pop(target_id)
        self._holdings.release(ejection.service_id, ejection.slots, now=now)
        return _event(EventKind.target_readmitted, ejection)

    def _end_excess(self, *, now: Millis) -> list[Effect]:
        """End the least severe ejections in excess of floor or permits."""
        ranked = sorted(
            self._announcements.active_ejections(now=now).values(),
            key=lambda ejection: (ejection.badness, ejection.target_id),
        )
        ejected: dict[ServiceId, int] = {}
        for each in ranked:
            ejected[each.service_id] = (
                ejected.get(each.service_id, 0) + each.slots
            )
        effects: list[Effect] = []
        for ejection in ranked:
            service_id = ejection.service_id
            is_surplus = ejected[service_id] > self._allowed_slots(service_id)
            is_own = ejection.target_id in self._own_by_id
            if is_own and self._holdings.excess(service_id, now=now) > 0:
                is_surplus = True
            if not is_surplus:
                continue
            ejected[service_id] -= ejection.slots
            if is_own:
                effects.append(self._end_ejection(ejection.target_id, now=now))
        return effects

    def _reset_demand(self, *, now: Millis) -> None:
        for service_id, slots in self.reserved_by_service.items():
            if self._urgent_until.get(service_id, now) <= now:
                self._holdings.set_demand(service_id, slots)

    def _start_trials(self, *, now: Millis) -> bool:
        """Start the trials that are due; return whether there was any."""
        is_changed = False
        for target_id, own in self._own_by_id.items():
            if own.ejection.on_trial or now < own.trial_at:
                continue
            if target_id in self.unresponsive:
                continue
            own.ejection = dataclasses.replace(own.ejection, on_trial=True)
            self._announcements.own_by_id[target_id] = own.ejection
            is_changed = True
        return is_changed

    def _publish_ejected(self, own: OwnEjection, *, now: Millis) -> Effects:
        ejection = own.ejection
        self._announcements.own_by_id[ejection.target_id] = ejection
        self._require_permits(ejection.service_id)
        event = _event(EventKind.target_ejected, ejection)
        return (event, *self._announcements.publish(now=now))

    def _require_permits(self, service_id: ServiceId) -> None:
        holding = self._holdings.by_service[service_id]
        ejected = sum(
            own.ejection.slots
            for own in self._own_by_id.values()
            if own.ejection.service_id == service_id
        )
        require(
            promise='the slots of own ejections equal the permits in use',
            holds=ejected == holding.used,
        )
        require(
            promise='the slots of own ejections stay within the budget',
            holds=ejected <= holding.budget,
        )


def _event(kind: EventKind, ejection: Ejection) -> Emit:
    facts = {
        'target': ejection.target_id,
        'service': ejection.service_id,
        'badness': round(ejection.badness, 1),
        'zones': ejection.zones,
    }
    return Emit(event=Event(kind=kind, facts=facts))

"""Scheduling of probes of ejected targets.

The host that ejected a target sends each probe request to one randomly
chosen host, so that the result does not depend on a single network path.
The whole fleet, whatever its size, thus probes a target at most once in
`PROBE_INTERVAL_MS`. Failed probes only put off a trial and successful ones
don't end an ejection, because gray targets answer probes.
"""

import dataclasses
import random

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.common.systems import Effect, Effects, Send, System
from chicorybridge.detection.announcements import Announcements
from chicorybridge.detection.assignments import Assignments
from chicorybridge.detection.ejections import Ejections

# Interval between two probes of a target by the whole fleet. On the stand-in
# targets each probe takes up one slot for 25 ms.
PROBE_INTERVAL_MS = 1000.0
# Consecutive failed probes that put off a trial.
FAILED_PROBES = 2


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeRequest:
    """Request that a host probes a target once."""

    target_id: TargetId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """Result of a probe: whether it succeeded (see `Prober`)."""

    target_id: TargetId
    succeeded: bool


class Probes(System):
    """Request probes of ejected targets, and queue those for this host."""

    def __init__(
        self,
        *,
        announcements: Announcements,
        assignments: Assignments,
        ejections: Ejections,
        rng: random.Random,
    ) -> None:
        """Start without probes."""
        self._announcements = announcements
        self._assignments = assignments
        self._ejections = ejections
        self._rng = rng
        self._next_probe_at: dict[TargetId, Millis] = {}
        self._failed_by_id: dict[TargetId, int] = {}
        # Targets to probe from this host, the hosts that requested it, and
        # when the last request for each target was accepted.
        self._due: list[TargetId] = []
        self._requesters_by_id: dict[TargetId, HostId] = {}
        self._accepted_at: dict[TargetId, Millis] = {}

    def tick(self, *, now: Millis) -> Effects:
        """Request due probes of the targets that this host ejected."""
        effects: list[Effect] = []
        for target_id in self._announcements.own_by_id:
            if now < self._next_probe_at.get(target_id, now):
                continue
            self._next_probe_at[target_id] = Millis(now + PROBE_INTERVAL_MS)
            prober = self._rng.choice(self._assignments.hosts)
            request = ProbeRequest(target_id=target_id)
            effects.append(Send(to=prober, message=request))
        for target_id in (
            self._next_probe_at.keys() - self._announcements.own_by_id
        ):
            self._stop_probing(target_id)
        return effects

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Handle probe requests and probe results."""
        match message:
            case ProbeRequest():
                self._accept(message.target_id, sender, now=now)
            case ProbeResult():
                self._record_result(message)
        return ()

    def take_due(self) -> tuple[TargetId, ...]:
        """Return the targets to probe once from this host, and clear them."""
        due = tuple(self._due)
        self._due.clear()
        return due

    def finish(self, target_id: TargetId, *, succeeded: bool) -> Effects:
        """Report the result of a probe of a target from `take_due`."""
        requester = self._requesters_by_id.pop(target_id, None)
        if requester is None:
            return ()
        result = ProbeResult(target_id=target_id, succeeded=succeeded)
        return (Send(to=requester, message=result),)

    def _accept(
        self, target_id: TargetId, requester: HostId, *, now: Millis
    ) -> None:
        """Queue a probe, unless one was accepted just before."""
        last = self._accepted_at.get(target_id)
        if last is not None and now - last < PROBE_INTERVAL_MS / 2:
            return
        if target_id not in self._assignments.pools_by_target:
            return
        self._accepted_at[target_id] = now
        self._requesters_by_id[target_id] = requester
        self._due.append(target_id)

    def _record_result(self, result: ProbeResult) -> None:
        target_id = result.target_id
        if target_id not in self._next_probe_at:
            return
        failed = 0
        if not result.succeeded:
            failed = self._failed_by_id.get(target_id, 0) + 1
        self._failed_by_id[target_id] = failed
        if failed >= FAILED_PROBES:
            self._ejections.unresponsive.add(target_id)
        else:
            self._ejections.unresponsive.discard(target_id)

    def _stop_probing(self, target_id: TargetId) -> None:
        self._next_probe_at.pop(target_id)
        self._failed_by_id.pop(target_id, None)
        self._ejections.unresponsive.discard(target_id)

"""All detection systems of a control process, combined into one."""

import random

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    ServiceId,
    Version,
    ZoneId,
)
from chicorybridge.common.systems import Effects, System
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.announcements import Announcements
from chicorybridge.detection.assignments import Assignments
from chicorybridge.detection.checks import Checks
from chicorybridge.detection.ejections import Ejections
from chicorybridge.detection.evidence_reports import EvidenceReports
from chicorybridge.detection.evaluations import Evaluations
from chicorybridge.detection.loans import Loans
from chicorybridge.detection.permit_holdings import HoldingTable
from chicorybridge.detection.permits import Permits
from chicorybridge.detection.probes import Probes
from chicorybridge.fleet.freshness import Freshness, StampExchange


class Detection(System):
    """Evaluate targets and eject gray ones within the floor of a service.

    There is one instance in each control process.
    """

    def __init__(
        self,
        *,
        host_id: HostId,
        zone_id: ZoneId,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> None:
        """Start without a configuration and without peers."""
        self.freshness = Freshness(incarnation=incarnation)
        self.holdings = HoldingTable(freshness=self.freshness)
        self.announcements = Announcements(
            host_id=host_id, zone_id=zone_id, freshness=self.freshness
        )
        self.ejections = Ejections(
            announcements=self.announcements, holdings=self.holdings
        )
        self.assignments = Assignments(host_id=host_id)
        self._reports = EvidenceReports(
            zone_id=zone_id,
            freshness=self.freshness,
            announcements=self.announcements,
            assignments=self.assignments,
        )
        self.evaluations = Evaluations(
            host_id=host_id,
            freshness=self.freshness,
            announcements=self.announcements,
            assignments=self.assignments,
            ejections=self.ejections,
            rng=rng,
        )
        self.probes = Probes(
            announcements=self.announcements,
            assignments=self.assignments,
            ejections=self.ejections,
            rng=rng,
        )
        self._stamp_exchange = StampExchange(
            host_id=host_id, freshness=self.freshness
        )
        self._loans = Loans(
            host_id=host_id,
            incarnation=incarnation,
            freshness=self.freshness,
            holdings=self.holdings,
        )
        self._permits = Permits(
            host_id=host_id,
            incarnation=incarnation,
            holdings=self.holdings,
            rng=rng,
        )
        self._systems: tuple[System, ...] = (
            self._stamp_exchange,
            self._permits,
            self._loans,
            self._reports,
            self.evaluations,
            self.ejections,
            self.announcements,
            self.probes,
            Checks(),
        )

    def configure(
        self, declaration: Declaration, *, version: Version, now: Millis
    ) -> Effects:
        """Apply a configuration; end ejections that it does not allow."""
        self.holdings.configure(declaration, version=version)
        self.assignments.configure(declaration)
        self._reports.configure(declaration)
        self.evaluations.configure()
        self.ejections.reserved_by_service = self.assignments.reserved_slots()
        return self.ejections.configure(declaration, now=now)

    def is_settled(self, *, now: Millis) -> bool:
        """Return whether the configuration allows all ejections of the host.

        A host confirms a configuration version only when this holds.
        """
        return self.ejections.is_settled(now=now)

    def update_hosts(
        self,
        incarnations_by_host: dict[HostId, Incarnation],
        *,
        gone: frozenset[Incarnation],
        now: Millis,
    ) -> None:
        """Set the live hosts and the incarnations that are certainly gone.

        An incarnation is certainly gone when its process has ended, or when
        no host received a message of it for longer than a host may go
        without an echo before it drops its permits (see `Freshness`).
        """
        host_ids = tuple(sorted(incarnations_by_host))
        self._stamp_exchange.update_hosts(host_ids)
        self._loans.update_hosts(host_ids)
        self.announcements.update_hosts(host_ids)
        self.assignments.update_hosts(host_ids)
        self.ejections.reserved_by_service = self.assignments.reserved_slots()
        self._permits.mark_gone(gone, now=now)

    def update_unavailable_slots(
        self, slots_by_service: dict[ServiceId, int]
    ) -> None:
        """Set the slots of targets that are leaving or down."""
        self.ejections.unavailable_by_service = slots_by_service

    def tick(self, *, now: Millis) -> Effects:
        """Run the tick of all systems in order."""
        self._stamp_exchange.always_polled = self.holdings.lenders
        return tuple(
            effect
            for system in self._systems
            for effect in system.tick(now=now)
        )

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Pass a message to all systems."""
        return tuple(
            effect
            for system in self._systems
            for effect in system.receive(message, sender=sender, now=now)
        )

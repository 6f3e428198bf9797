"""All detection systems of a control process, joined as one system."""

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
from chicorybridge.detection.evidence_reports import Reports
from chicorybridge.detection.judgements import Judgements
from chicorybridge.detection.loans import Loans
from chicorybridge.detection.permit_holdings import HoldingTable
from chicorybridge.detection.permits import Permits
from chicorybridge.detection.probes import Probes
from chicorybridge.fleet.freshness import Freshness, StampExchange


class Detection(System):
    """Judge targets and eject them under the floor; one per control."""

    def __init__(
        self,
        *,
        host_id: HostId,
        zone_id: ZoneId,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> None:
        """Start unconfigured and knowing no peers."""
        self.freshness = Freshness(incarnation=incarnation)
        self.holdings = HoldingTable(freshness=self.freshness)
        self.announcements = Announcements(
            host_id=host_id, zone_id=zone_id, freshness=self.freshness
        )
        self.ejections = Ejections(
            announcements=self.announcements, holdings=self.holdings
        )
        self.assignments = Assignments(host_id=host_id)
        self._reports = Reports(
            zone_id=zone_id,
            freshness=self.freshness,
            announcements=self.announcements,
            assignments=self.assignments,
        )
        self.judgements = Judgements(
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
        self._beats = StampExchange(host_id=host_id, freshness=self.freshness)
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
            self._beats,
            self._permits,
            self._loans,
            self._reports,
            self.judgements,
            self.ejections,
            self.announcements,
            self.probes,
            Checks(),
        )

    def configure(
        self, declaration: Declaration, *, version: Version, now: Millis
    ) -> Effects:
        """Take in a configuration and end what contradicts it."""
        self.holdings.configure(declaration, version=version)
        self.assignments.configure(declaration)
        self._reports.configure(declaration)
        self.judgements.configure()
        self.ejections.reserve_by_service = self.assignments.reserves()
        return self.ejections.configure(declaration, now=now)

    def is_settled(self, *, now: Millis) -> bool:
        """Tell whether no ejection contradicts the configuration.

        A host confirms a version only when this holds.
        """
        return self.ejections.is_settled(now=now)

    def update_hosts(
        self,
        incarnations_by_host: dict[HostId, Incarnation],
        *,
        gone: frozenset[Incarnation],
        now: Millis,
    ) -> None:
        """Take in the live hosts and the incarnations surely gone.

        An incarnation is surely gone when its process has ended, or when
        no host heard it for longer than `freshness.ECHO_TIMEOUT_MS`.
        """
        host_ids = tuple(sorted(incarnations_by_host))
        self._beats.update_hosts(host_ids)
        self._loans.update_hosts(host_ids)
        self.announcements.update_hosts(host_ids)
        self.assignments.update_hosts(host_ids)
        self.ejections.reserve_by_service = self.assignments.reserves()
        self._permits.mark_gone(gone, now=now)

    def update_lost(self, slots_by_service: dict[ServiceId, int]) -> None:
        """Take in the slots of targets that leave or are down."""
        self.ejections.lost_by_service = slots_by_service

    def tick(self, *, now: Millis) -> Effects:
        """Tick all systems in order."""
        self._beats.always_polled = self.holdings.lenders
        return tuple(
            effect
            for system in self._systems
            for effect in system.tick(now=now)
        )

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Pass a message to the systems."""
        return tuple(
            effect
            for system in self._systems
            for effect in system.receive(message, sender=sender, now=now)
        )

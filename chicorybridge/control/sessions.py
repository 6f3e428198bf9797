"""Streams that entry processes and operators opened to a control process."""

import dataclasses
from typing import Any

import curio

from chicorybridge.claims.claim_messages import KeyPrefixIssued
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import NO_VERSION, Version
from chicorybridge.configuration.versions import (
    DeclarationActivated,
    ServingLease,
)
from chicorybridge.control.streams import MessageStream
from chicorybridge.detection.departures import TargetsLeaving
from chicorybridge.detection.notices import TargetLimits
from chicorybridge.entry.entry_messages import (
    EntryClosing,
    EntryOpened,
    EntryReport,
    FleetSent,
    MetricsReport,
)
from chicorybridge.fleet.drains import DrainAdvanced
from chicorybridge.fleet.rosters import Roster

# Messages of which a new entry process needs the last one.
LASTING = (
    DeclarationActivated,
    ServingLease,
    TargetLimits,
    KeyPrefixIssued,
    FleetSent,
    Roster,
    TargetsLeaving,
    DrainAdvanced,
)


@dataclasses.dataclass(kw_only=True)
class Session:
    """A stream that is open, with what waits to be sent on it."""

    stream: MessageStream
    queue: curio.Queue = dataclasses.field(default_factory=curio.Queue)


@dataclasses.dataclass(kw_only=True)
class EntrySession(Session):
    """What an entry process of this host has said."""

    opened: EntryOpened
    heard_at: Millis
    closing: bool = False
    report: EntryReport | None = None
    metrics: MetricsReport | None = None

    @property
    def version(self) -> Version:
        """Return the version that governs the entry process."""
        return self.report.version if self.report else NO_VERSION


class EntryTable:
    """The entry processes of this host."""

    def __init__(self) -> None:
        """Start without entry processes."""
        self.sessions_by_id: dict[str, EntrySession] = {}
        self._last_by_type: dict[type, Any] = {}

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return where callers are taken, without those that close."""
        return tuple(
            sorted(
                session.opened.address
                for session in self.sessions_by_id.values()
                if not session.closing
            )
        )

    @property
    def connections(self) -> int:
        """Return the open connections of callers."""
        return sum(report.connections for report in self._reports)

    @property
    def in_flight(self) -> int:
        """Return the requests under way."""
        return sum(report.in_flight for report in self._reports)

    async def add(self, session: EntrySession) -> None:
        """Add an entry process and tell it all that lasts."""
        self.sessions_by_id[session.opened.entry_id] = session
        for message in self._last_by_type.values():
            await session.queue.put(message)

    async def send(self, message: Any) -> None:
        """Send to every entry process; remember what lasts."""
        if isinstance(message, LASTING):
            self._last_by_type[type(message)] = message
        for session in self.sessions_by_id.values():
            await session.queue.put(message)

    def take(self, session: EntrySession, message: Any, *, now: Millis) -> bool:
        """Take in what is for this table; `False` for other messages."""
        session.heard_at = now
        match message:
            case EntryReport():
                session.report = message
            case MetricsReport():
                session.metrics = message
            case EntryClosing():
                session.closing = True
            case _:
                return False
        return True

    def all_governed_by(
        self, version: Version, *, now: Millis, within_ms: float
    ) -> bool:
        """Return whether each entry process has switched to `version`.

        One that was silent for longer than `within_ms` holds no lease
        any more and is left out.
        """
        return all(
            session.version >= version
            for session in self.sessions_by_id.values()
            if now - session.heard_at <= within_ms
        )

    @property
    def _reports(self) -> list[EntryReport]:
        sessions = self.sessions_by_id.values()
        return [session.report for session in sessions if session.report]

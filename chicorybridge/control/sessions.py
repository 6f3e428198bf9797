"""Sessions of entry processes and operators with a control process."""

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

# Messages that set a state. A new entry process is sent the last one of each.
STATE_MESSAGES = (
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
    """An open stream and the queue of messages to send on it."""

    stream: MessageStream
    queue: curio.Queue = dataclasses.field(default_factory=curio.Queue)


@dataclasses.dataclass(kw_only=True)
class EntrySession(Session):
    """The session of an entry process, with its latest reports.

    `received_at` is when its last message arrived, `closing` is set once
    it shuts down.
    """

    opened: EntryOpened
    received_at: Millis
    closing: bool = False
    report: EntryReport | None = None
    metrics: MetricsReport | None = None

    @property
    def version(self) -> Version:
        """Return the version that the entry process last reported."""
        return self.report.version if self.report else NO_VERSION


class EntryTable:
    """The connected entry processes of this host, by their id."""

    def __init__(self) -> None:
        """Start without entry processes."""
        self.sessions_by_id: dict[str, EntrySession] = {}
        self._last_by_type: dict[type, Any] = {}

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of those that accept callers."""
        return tuple(
            sorted(
                session.opened.address
                for session in self.sessions_by_id.values()
                if not session.closing
            )
        )

    @property
    def connections(self) -> int:
        """Return the number of open connections of callers."""
        return sum(report.connections for report in self._reports)

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return sum(report.in_flight for report in self._reports)

    async def add(self, session: EntrySession) -> None:
        """Add an entry process and send it the last state messages."""
        self.sessions_by_id[session.opened.entry_id] = session
        for message in self._last_by_type.values():
            await session.queue.put(message)

    async def send(self, message: Any) -> None:
        """Send to every entry process; store state messages for new ones."""
        if isinstance(message, STATE_MESSAGES):
            self._last_by_type[type(message)] = message
        for session in self.sessions_by_id.values():
            await session.queue.put(message)

    def handle(
        self, session: EntrySession, message: Any, *, now: Millis
    ) -> bool:
        """Update a session from a report of its entry process.

        Return `False` if the message is not such a report.
        """
        session.received_at = now
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

    def all_switched_to(
        self, version: Version, *, now: Millis, within_ms: float
    ) -> bool:
        """Return whether all entry processes run `version` or a newer one.

        An entry process that sent nothing for longer than `within_ms` is
        ignored, because its serving lease has expired.
        """
        return all(
            session.version >= version
            for session in self.sessions_by_id.values()
            if now - session.received_at <= within_ms
        )

    @property
    def _reports(self) -> list[EntryReport]:
        sessions = self.sessions_by_id.values()
        return [session.report for session in sessions if session.report]

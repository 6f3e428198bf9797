"""Numbered events; `docs/events.md` lists them."""

import dataclasses
import logging
from collections import deque
from enum import Enum
from typing import Any

from chicorybridge.common.clocks import Clock
from chicorybridge.common.identities import HostId, Incarnation

logger = logging.getLogger(__name__)

# Maximum number of events kept in memory for the command
# `chicorybridge timeline`, and of those that wait to be reported. The oldest
# are dropped.
MAX_KEPT_EVENTS = 4096


class EventKind(Enum):
    """Kinds of events by number; a number is never reused."""

    # 100: processes.
    process_started = 100
    process_stopping = 101
    process_stopped = 102
    process_failed = 103
    settings_reloaded = 104
    log_lines_dropped = 105
    process_stalled = 106

    # 200: configuration.
    configuration_received = 200
    configuration_active = 201
    configuration_confirmed = 202
    configuration_accepted = 203
    configuration_use_changed = 204

    # 300: membership.
    peer_heard = 300
    peer_lost = 301
    host_withdrawn = 302
    host_returned = 303
    state_behind = 304
    snapshot_merged = 305
    aggregator_changed = 306

    # 400: targets.
    target_ejected = 401
    target_readmitted = 402
    target_leaving = 403
    target_listed = 404
    target_gone = 405
    target_sign_seen = 406
    targets_listed = 407
    list_outdated = 408
    list_usable = 409
    permit_taken = 410
    permit_given = 411

    # 500: requests.
    request_refused = 500
    request_retried = 501
    answer_aborted = 502
    attempt_ended = 504
    request_ended = 505
    caller_gone = 506
    crash_suspected = 507
    request_cut = 508
    connection_ended = 509
    request_quarantined = 503
    claim_decided = 510
    request_failed = 511
    suspect_sent = 512
    suspect_cleared = 513
    memory_short = 514

    # 600: platform.
    store_lost = 600
    store_back = 601
    removals_held = 602
    removals_released = 603
    store_read = 604
    store_restored = 605

    # 900: violated invariants.
    promise_broken = 900


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """An event: its kind, and the ids and values that describe it."""

    kind: EventKind
    facts: dict[str, Any] = dataclasses.field(default_factory=dict)


class EventLog:
    """Log events with host, process and logical time, and keep the last."""

    def __init__(
        self,
        *,
        clock: Clock,
        host_id: HostId,
        process: str,
        incarnation: Incarnation,
    ) -> None:
        """Log events of one process; `process` is the name of its binary."""
        self._clock = clock
        self._source = {
            'host': host_id,
            'process': process,
            'incarnation': incarnation,
        }
        self._kept: deque[dict[str, Any]] = deque(maxlen=MAX_KEPT_EVENTS)
        self._unreported: deque[dict[str, Any]] = deque(maxlen=MAX_KEPT_EVENTS)
        self._logical_time = 0

    @property
    def logical_time(self) -> int:
        """Return the Lamport time of the last event."""
        return self._logical_time

    def advance_logical_time(self, *, logical_time: int) -> None:
        """Update the Lamport time from that of a received message."""
        self._logical_time = max(self._logical_time, logical_time)

    def emit(self, event: Event) -> None:
        """Log `event` and keep it in memory."""
        self._logical_time += 1
        record = {
            'number': event.kind.value,
            'event': event.kind.name,
            'at_ms': round(self._clock.wall_time()),
            'logical_time': self._logical_time,
            **self._source,
            **event.facts,
        }
        self._kept.append(record)
        self._unreported.append(record)
        logger.info(record)

    def recent(self) -> tuple[dict[str, Any], ...]:
        """Return the events that are kept, oldest first."""
        return tuple(self._kept)

    def take_new(self, *, limit: int) -> tuple[dict[str, Any], ...]:
        """Return up to `limit` of the oldest events not returned before."""
        count = min(limit, len(self._unreported))
        return tuple(self._unreported.popleft() for _ in range(count))

    def extend(self, records: tuple[dict[str, Any], ...]) -> None:
        """Add events that another process of this host logged."""
        self._kept.extend(records)

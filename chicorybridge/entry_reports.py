"""What an entry process tells its control process each tick."""

from collections.abc import Awaitable, Callable
from typing import Any

from chicorybridge import settings
from chicorybridge.attempts import AttemptOutcome
from chicorybridge.calls import Call
from chicorybridge.clocks import Clock, Millis
from chicorybridge.dispatchers import Dispatcher
from chicorybridge.entry_messages import (
    EntryReport,
    EventsReport,
    MetricsReport,
)
from chicorybridge.entry_states import EntryState
from chicorybridge.events import EventLog
from chicorybridge.meters import Meters


class EntryReporter:
    """Count what ends and report it with the events of the process."""

    def __init__(
        self,
        *,
        entry_id: str,
        clock: Clock,
        log: EventLog,
        state: EntryState,
        post: Callable[[Any], Awaitable[bool]],
    ) -> None:
        """Report through `post`."""
        self._entry_id = entry_id
        self._clock = clock
        self._log = log
        self._state = state
        self._post = post
        self._meters = Meters()
        self._metrics_due = clock.now()

    def count(self, call: Call) -> None:
        """Count a call that ended, with what this process added to it."""
        total_ms = self._clock.now() - call.started_at
        target_ms = sum(attempt.elapsed_ms for attempt in call.attempts)
        self._meters.count('requests')
        self._meters.time('request', total_ms)
        self._meters.time('added', max(0, total_ms - target_ms))
        for attempt in call.attempts:
            self._meters.count('attempts_{0}'.format(attempt.outcome.name))
        if len(call.attempts) > 1:
            self._meters.count('retries')
        if call.committed and _is_cut(call):
            self._meters.count('answers_aborted')

    async def report(
        self, dispatcher: Dispatcher, *, connections: int, now: Millis
    ) -> None:
        """Post the state of the process, new events and due metrics."""
        calls = dispatcher.calls_by_number.values()
        version = self._state.version
        await self._post(
            EntryReport(
                entry_id=self._entry_id,
                version=version,
                in_flight=len(calls),
                superseded=sum(
                    call.configuration.version < version for call in calls
                ),
                connections=connections,
            )
        )
        records = self._log.take_new(limit=settings.EVENTS_PER_REPORT)
        if records:
            await self._post(EventsReport(records=records))
        if now >= self._metrics_due:
            self._metrics_due = Millis(now + settings.METRICS_MS)
            await self._report_metrics()

    async def _report_metrics(self) -> None:
        await self._post(
            MetricsReport(
                counts_by_name=dict(self._meters.counts_by_name),
                histograms_by_name=self._meters.encoded(),
            )
        )


def _is_cut(call: Call) -> bool:
    return call.attempts[-1].outcome is not AttemptOutcome.answered

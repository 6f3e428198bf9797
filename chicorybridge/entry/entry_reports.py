"""Reports of an entry process to its control process, each tick."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from chicorybridge import settings
from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.meters import Meters
from chicorybridge.entry.calls import Call
from chicorybridge.entry.dispatchers import Dispatcher
from chicorybridge.entry.entry_messages import (
    EntryReport,
    EventsReport,
    MetricsReport,
)
from chicorybridge.entry.entry_states import EntryState
from chicorybridge.http.close_reasons import CloseReason


class EntryReporter:
    """Count ended calls, refusals and connections, and report them."""

    def __init__(
        self,
        *,
        entry_id: str,
        clock: Clock,
        log: EventLog,
        state: EntryState,
        post: Callable[[Any], Awaitable[bool]],
    ) -> None:
        """Report state and events through `post`."""
        self._entry_id = entry_id
        self._clock = clock
        self._log = log
        self._state = state
        self._post = post
        self._meters = Meters()
        self._next_metrics_at = clock.now()
        # Counts since the last tick, each logged as one event.
        self._refused_by_code: Counter[str] = Counter()
        self._retried_by_service: Counter[str] = Counter()

    def count_call(self, call: Call) -> None:
        """Count an ended call and the latency that this process added."""
        total_ms = self._clock.now() - call.started_at
        target_ms = sum(attempt.elapsed_ms for attempt in call.attempts)
        self._meters.count('requests')
        self._meters.record_duration('request', total_ms)
        self._meters.record_duration('added', max(0, total_ms - target_ms))
        for attempt in call.attempts:
            self._meters.count('attempts_{0}'.format(attempt.outcome.name))
        if len(call.attempts) > 1:
            self._meters.count('retries')
            self._retried_by_service[call.service.service_id] += 1
        if call.committed and _is_incomplete(call):
            self._meters.count('answers_aborted')
            self._log.emit(_aborted_event(call))

    def count_refusal(self, code: ErrorCode) -> None:
        """Count a request that was refused."""
        self._meters.count(f'refused_{code.name}')
        self._refused_by_code[code.name] += 1

    def count_closed(self, reason: CloseReason) -> None:
        """Count a connection of a caller that this process ended."""
        self._meters.count('connections_{0}'.format(reason.name))

    async def report(
        self,
        dispatcher: Dispatcher,
        *,
        connections: int,
        pending: int,
        now: Millis,
    ) -> None:
        """Send the state, new events and, when they are due, metrics.

        `pending` counts the connections with an unanswered request,
        including requests that are still being read.
        """
        calls = dispatcher.calls_by_number.values()
        version = self._state.version
        await self._post(
            EntryReport(
                entry_id=self._entry_id,
                version=version,
                in_flight=pending,
                superseded=sum(
                    call.configuration.version < version for call in calls
                ),
                connections=connections,
            )
        )
        self._emit_counts()
        records = self._log.take_new(limit=settings.MAX_EVENTS_PER_REPORT)
        if records:
            await self._post(EventsReport(records=records))
        if now >= self._next_metrics_at:
            self._next_metrics_at = Millis(now + settings.METRICS_INTERVAL_MS)
            await self._report_metrics()

    def _emit_counts(self) -> None:
        """Log one event per error code and per service with its count.

        One event per request would flood the timeline under overload.
        """
        for code, count in self._refused_by_code.items():
            facts = {'code': code, 'count': count}
            self._log.emit(Event(kind=EventKind.request_refused, facts=facts))
        for service_id, count in self._retried_by_service.items():
            facts = {'service': service_id, 'count': count}
            self._log.emit(Event(kind=EventKind.request_retried, facts=facts))
        self._refused_by_code.clear()
        self._retried_by_service.clear()

    async def _report_metrics(self) -> None:
        await self._post(
            MetricsReport(
                counts_by_name=dict(self._meters.counts_by_name),
                histograms_by_name=self._meters.encode_histograms(),
            )
        )


def _aborted_event(call: Call) -> Event:
    last = call.attempts[-1]
    facts = {'target': last.target_id, 'outcome': last.outcome.name}
    return Event(kind=EventKind.answer_aborted, facts=facts)


def _is_incomplete(call: Call) -> bool:
    return call.attempts[-1].outcome is not AttemptOutcome.answered

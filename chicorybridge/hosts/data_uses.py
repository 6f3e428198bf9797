"""Whether a host may still use data that it has of the store."""

from collections.abc import Callable, Mapping

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.fleet.store_reads import DataUse, ReadSchedule


class DataUseMonitor:
    """Check the age of some data at each use, and log when the use changes."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        schedule: ReadSchedule,
        known_at: Callable[[], Millis],
        kinds_by_use: Mapping[DataUse, EventKind],
    ) -> None:
        """Check data that had all that the store had at `known_at`."""
        self._clock = clock
        self._log = log
        self._schedule = schedule
        self._known_at = known_at
        self._kinds_by_use = kinds_by_use
        self._use = DataUse.current

    @property
    def age_ms(self) -> int | None:
        """Return the age of the data in ms, `None` if there are none."""
        age_ms = self._clock.now() - self._known_at()
        return None if age_ms >= settings.NEVER_READ_AGE_MS else round(age_ms)

    def is_usable(self) -> bool:
        """Return whether the data may be used.

        Not if they are so old that they may lack what holds already, unless
        the store answers no host.
        """
        now = self._clock.now()
        use = self._schedule.data_use(known_at=self._known_at(), now=now)
        if use is not self._use:
            self._use = use
            facts = {
                'use': use.value,
                'age_ms': self.age_ms,
                'answer_age_ms': round(self._schedule.answer_age_ms(now=now)),
                'failed_hosts': self._schedule.failed_hosts(),
            }
            self._log.emit(Event(kind=self._kinds_by_use[use], facts=facts))
        return use is not DataUse.outdated

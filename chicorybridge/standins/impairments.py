"""Gray failures of a target stand-in: its knobs, and what they bring."""

import dataclasses
import random
from enum import Enum

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.standins.knobs import Knobs

# A full period of flapping has a healthy and a sick half.
HALVES = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class EmulatorKnobs(Knobs):
    """Capacity and faults of a target; `docs/standins.md` lists them all.

    Times are milliseconds, shares run from 0 to 1, and 0 or an empty
    list turns a fault off.
    """

    # Capacity.
    slots: int = settings.SLOTS
    queue: int = settings.STANDIN_QUEUE_REQUESTS
    connections: int = settings.CONNECTIONS
    service_ms: float = settings.STANDIN_SERVICE_MS
    service_ms_by_prefix: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    speed: float = settings.SPEED
    spread: float = settings.STANDIN_SPREAD_SHARE
    probe_ms: float = settings.STANDIN_PROBE_MS
    cold_start_ms: float = 0
    cold_factor: float = settings.STANDIN_COLD_FACTOR

    # What it says of itself.
    draining: bool = False
    shed_share: float = 0
    retry_after_s: int = 1
    health_lag_ms: float = 0
    load_lag_ms: float = 0
    health_misleads: bool = False
    load_misleads: bool = False

    # Gray failures.
    failure_share: float = 0
    caller_error_share: float = 0
    failing_prefixes: tuple[str, ...] = ()
    failing_above_bytes: int = 0
    slow_factor: float = 1
    slow_zones: tuple[str, ...] = ()
    cut_share: float = 0
    silent_share: float = 0
    doubled_share: float = 0
    silent_probes: bool = False
    freeze_connections: bool = False
    flap_ms: float = 0
    crash_prefix: str = ''

    def __post_init__(self) -> None:
        """Refuse hardware without any speed."""
        if self.speed <= 0:
            raise ValueError('speed has to be above 0')


class Fault(Enum):
    """What goes wrong with one request."""

    none = 'none'
    failure = 'failure'
    caller_error = 'caller_error'
    cut = 'cut'
    silence = 'silence'
    doubled = 'doubled'
    shed = 'shed'
    crash = 'crash'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """One request as far as faults go by it."""

    path: str
    body_bytes: int
    zone: str
    source: str


class Impairments:
    """Draw the faults of requests from the knobs."""

    def __init__(self, *, started_at: Millis, rng: random.Random) -> None:
        """Take the start of the process, from which it is cold."""
        self._started_at = started_at
        self._rng = rng

    def draw(self, knobs: EmulatorKnobs, work: Work, *, now: Millis) -> Fault:
        """Return the fault of one request."""
        if knobs.crash_prefix and work.path.startswith(knobs.crash_prefix):
            return Fault.crash
        if not self._is_sick(knobs, now):
            return Fault.none
        if _fails_always(knobs, work):
            return Fault.failure
        shares = (
            (Fault.shed, knobs.shed_share),
            (Fault.silence, knobs.silent_share),
            (Fault.failure, knobs.failure_share),
            (Fault.cut, knobs.cut_share),
            (Fault.caller_error, knobs.caller_error_share),
            (Fault.doubled, knobs.doubled_share),
        )
        for fault, share in shares:
            if self._rng.random() < share:
                return fault
        return Fault.none

    def service_ms(
        self, knobs: EmulatorKnobs, work: Work, *, now: Millis
    ) -> float:
        """Return the service time of one request."""
        service_ms = _base_ms(knobs, work.path) / knobs.speed
        service_ms *= self._rng.uniform(1 - knobs.spread, 1 + knobs.spread)
        if now - self._started_at < knobs.cold_start_ms:
            service_ms *= knobs.cold_factor
        if self._is_sick(knobs, now) and _is_slow_for(knobs, work):
            service_ms *= knobs.slow_factor
        return service_ms

    def _is_sick(self, knobs: EmulatorKnobs, now: Millis) -> bool:
        if knobs.flap_ms <= 0:
            return True
        half = int((now - self._started_at) / knobs.flap_ms * HALVES)
        return half % HALVES == 1


def _fails_always(knobs: EmulatorKnobs, work: Work) -> bool:
    if 0 < knobs.failing_above_bytes < work.body_bytes:
        return True
    return work.path.startswith(knobs.failing_prefixes)


def _is_slow_for(knobs: EmulatorKnobs, work: Work) -> bool:
    # A zone is told by the caller's header or by its source address.
    if not knobs.slow_zones:
        return True
    return work.zone in knobs.slow_zones or work.source in knobs.slow_zones


def _base_ms(knobs: EmulatorKnobs, path: str) -> float:
    prefixes = [
        prefix
        for prefix in knobs.service_ms_by_prefix
        if path.startswith(prefix)
    ]
    if not prefixes:
        return knobs.service_ms
    return knobs.service_ms_by_prefix[max(prefixes, key=len)]

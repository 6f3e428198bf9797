"""Faults of a target stand-in, as its knobs set them."""

import dataclasses
import random
from enum import Enum

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.standins.knobs import Knobs

# Each period of flapping has a healthy half, then a faulty one.
HALVES_PER_PERIOD = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class EmulatorKnobs(Knobs):
    """Capacity and faults of a target; `docs/standins.md` describes each.

    Times are milliseconds, shares run from 0 to 1, and 0 or an empty
    list turns a fault off.
    """

    # Capacity and service times.
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

    # Load shedding, and the health and load endpoints.
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
        """Raise `ValueError` if the speed is not above 0."""
        if self.speed <= 0:
            raise ValueError('speed must be above 0')


class Fault(Enum):
    """The fault of one request.

    Values are the outcomes in the counts of the stand-in.
    """

    none = 'none'
    failure = 'failure'
    caller_error = 'caller_error'
    cut = 'cut'
    silence = 'silence'
    doubled = 'doubled'
    shed = 'shed'
    crash = 'crash'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestTraits:
    """The properties of a request that affect its faults and service time.

    `zone` is the zone header of the request; `caller_ip` is the IP
    number of its caller.
    """

    path: str
    body_bytes: int
    zone: str
    caller_ip: str


class Impairments:
    """Draw faults and service times of requests as the knobs set them."""

    def __init__(self, *, started_at: Millis, rng: random.Random) -> None:
        """Count the cold start and the flapping from `started_at`."""
        self._started_at = started_at
        self._rng = rng

    def draw_fault(
        self, knobs: EmulatorKnobs, traits: RequestTraits, *, now: Millis
    ) -> Fault:
        """Return the fault of one request, `Fault.none` for no fault."""
        if knobs.crash_prefix and traits.path.startswith(knobs.crash_prefix):
            return Fault.crash
        if not self._is_faulty(knobs, now):
            return Fault.none
        if _fails_always(knobs, traits):
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
        self, knobs: EmulatorKnobs, traits: RequestTraits, *, now: Millis
    ) -> float:
        """Return the service time of one request in milliseconds."""
        service_ms = _base_service_ms(knobs, traits.path) / knobs.speed
        service_ms *= self._rng.uniform(1 - knobs.spread, 1 + knobs.spread)
        if now - self._started_at < knobs.cold_start_ms:
            service_ms *= knobs.cold_factor
        if self._is_faulty(knobs, now) and _is_slowed(knobs, traits):
            service_ms *= knobs.slow_factor
        return service_ms

    def _is_faulty(self, knobs: EmulatorKnobs, now: Millis) -> bool:
        if knobs.flap_ms <= 0:
            return True
        half_period = int(
            (now - self._started_at) / knobs.flap_ms * HALVES_PER_PERIOD
        )
        return half_period % HALVES_PER_PERIOD == 1


def _fails_always(knobs: EmulatorKnobs, traits: RequestTraits) -> bool:
    if 0 < knobs.failing_above_bytes < traits.body_bytes:
        return True
    return traits.path.startswith(knobs.failing_prefixes)


def _is_slowed(knobs: EmulatorKnobs, traits: RequestTraits) -> bool:
    # `slow_zones` holds zones, as sent in the header, or source addresses.
    if not knobs.slow_zones:
        return True
    return (
        traits.zone in knobs.slow_zones or traits.caller_ip in knobs.slow_zones
    )


def _base_service_ms(knobs: EmulatorKnobs, path: str) -> float:
    prefixes = [
        prefix
        for prefix in knobs.service_ms_by_prefix
        if path.startswith(prefix)
    ]
    if not prefixes:
        return knobs.service_ms
    return knobs.service_ms_by_prefix[max(prefixes, key=len)]

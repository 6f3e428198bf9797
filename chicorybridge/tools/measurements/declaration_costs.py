"""Measure bytes, memory and decode time of declarations by their size."""

import dataclasses
import functools
import gc
import logging
import time
import tracemalloc
from collections.abc import Callable, Iterator

from chicorybridge.common.clocks import NANOS_PER_MILLI
from chicorybridge.common.codecs import unpack
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.deltas import apply_delta, make_delta
from chicorybridge.tools.measurements.slopes import Slope, fit, measure_each
from chicorybridge.tools.models.synthetics import Sizes, make_declaration

logger = logging.getLogger(__name__)

# Shares of the full size at which costs are measured.
SIZE_SHARES = (0.05, 0.1, 0.25, 0.5, 1.0)
REPEATS = 3

# Fields of the sizes that are varied one by one; the others are 1.
VARIED_FIELDS = ('targets', 'routes', 'workspaces', 'services')

FULL_SIZES = Sizes()


def measure_declarations() -> Iterator[Slope]:
    """Yield the slopes of bytes, memory and decode time."""
    for field in VARIED_FIELDS:
        sizes = [
            round(getattr(FULL_SIZES, field) * share) for share in SIZE_SHARES
        ]
        yield fit(
            f'declaration bytes by {field}',
            unit='bytes',
            size_unit=field,
            points=measure_each(
                sizes, functools.partial(_measure_bytes, field)
            ),
        )
        yield fit(
            f'declaration memory by {field}',
            unit='bytes',
            size_unit=field,
            points=measure_each(
                sizes, functools.partial(_measure_memory, field)
            ),
        )
        yield fit(
            f'declaration decode time by {field}',
            unit='ms',
            size_unit=field,
            points=measure_each(
                sizes, functools.partial(_measure_decode_ms, field)
            ),
        )


def measure_changes() -> Iterator[Slope]:
    """Yield the slopes of a change of one route by the declaration's size.

    All tables grow together; the size is the number of targets.
    """
    changes = [_make_change(share) for share in SIZE_SHARES]
    yield fit(
        'difference bytes of one change, all tables grown',
        unit='bytes',
        size_unit='targets',
        points=[(change.size, len(change.delta)) for change in changes],
    )
    yield fit(
        'making a difference, all tables grown',
        unit='ms',
        size_unit='targets',
        points=[
            (change.size, min_processor_ms(change.make)) for change in changes
        ],
    )
    yield fit(
        'applying a difference, all tables grown',
        unit='ms',
        size_unit='targets',
        points=[
            (change.size, min_processor_ms(change.apply)) for change in changes
        ],
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """The declarations before and after a change, and their delta."""

    previous: Declaration
    changed: Declaration
    delta: bytes

    @property
    def size(self) -> int:
        """Return the number of targets."""
        return len(self.previous.targets_by_id)

    def make(self) -> None:
        """Make the delta, as a host does that distributes the version."""
        make_delta(self.previous, self.changed)

    def apply(self) -> None:
        """Apply and check the delta, as a host does that receives it."""
        rebuilt = apply_delta(self.previous, self.delta)
        if rebuilt.routes_by_id != self.changed.routes_by_id:
            raise ValueError(
                'the delta does not rebuild the changed declaration'
            )
        # Reading the digest computes it; a host checks versions by it.
        logger.debug('rebuilt version with digest %s', rebuilt.digest)


def _make_change(share: float) -> Change:
    previous = make_declaration(FULL_SIZES.scaled(share))
    route_id, route = next(iter(previous.routes_by_id.items()))
    routes_by_id = dict(previous.routes_by_id)
    routes_by_id[route_id] = dataclasses.replace(route, timeout_ms=1)
    changed = dataclasses.replace(previous, routes_by_id=routes_by_id)
    return Change(
        previous=previous, changed=changed, delta=make_delta(previous, changed)
    )


def min_processor_ms(step: Callable[[], object]) -> float:
    """Return the lowest processor time of `REPEATS` calls, in ms."""
    return min(_processor_ms(step) for _ in range(REPEATS))


def _processor_ms(step: Callable[[], object]) -> float:
    # A garbage collection would add to the time of one size only.
    gc.collect()
    gc.disable()
    started_ns = time.process_time_ns()
    step()
    used_ms = (time.process_time_ns() - started_ns) / NANOS_PER_MILLI
    gc.enable()
    return used_ms


def _sizes(field: str, count: int) -> Sizes:
    minimum = {name: 1 for name in VARIED_FIELDS}
    return Sizes(**{**minimum, field: count})


def _measure_bytes(field: str, count: int) -> float:
    return len(make_declaration(_sizes(field, count)).body)


def _measure_decode_ms(field: str, count: int) -> float:
    body = make_declaration(_sizes(field, count)).body
    return min_processor_ms(functools.partial(unpack, body))


def _measure_memory(field: str, count: int) -> float:
    body = make_declaration(_sizes(field, count)).body
    gc.collect()
    tracemalloc.start()
    kept = [unpack(body)]
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return used

"""What a declaration costs a host: bytes, memory, time, by its size."""

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

# Shares of the full size at which everything is measured.
SHARES = (0.05, 0.1, 0.25, 0.5, 1.0)
REPEATS = 3

# Which field of the sizes is varied, with the others at their least.
VARIED = ('targets', 'routes', 'workspaces', 'services')

FULL = Sizes()


def measure_declarations() -> Iterator[Slope]:
    """Yield the slopes of bytes, memory and time."""
    for field in VARIED:
        sizes = [round(getattr(FULL, field) * share) for share in SHARES]
        yield fit(
            f'declaration bytes by {field}',
            unit='bytes',
            size_unit=field,
            points=measure_each(sizes, functools.partial(_bytes, field)),
        )
        yield fit(
            f'declaration memory by {field}',
            unit='bytes',
            size_unit=field,
            points=measure_each(sizes, functools.partial(_memory, field)),
        )
        yield fit(
            f'declaration decode time by {field}',
            unit='ms',
            size_unit=field,
            points=measure_each(sizes, functools.partial(_decode_ms, field)),
        )


def measure_changes() -> Iterator[Slope]:
    """Yield the slopes of a change of one route by all that is declared.

    All tables grow together; the size is that of the targets.
    """
    changes = [_change(share) for share in SHARES]
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
        points=[(change.size, best_ms(change.make)) for change in changes],
    )
    yield fit(
        'applying a difference, all tables grown',
        unit='ms',
        size_unit='targets',
        points=[(change.size, best_ms(change.apply)) for change in changes],
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A declaration before and after a change, and the difference."""

    before: Declaration
    after: Declaration
    delta: bytes

    @property
    def size(self) -> int:
        """Return the number of targets."""
        return len(self.before.targets_by_id)

    def make(self) -> None:
        """Find the difference, as the host does that hands it out."""
        make_delta(self.before, self.after)

    def apply(self) -> None:
        """Apply and check it, as each host does that takes it in."""
        changed = apply_delta(self.before, self.delta)
        if changed.routes_by_id != self.after.routes_by_id:
            raise ValueError('the difference rebuilds something else')
        # The digest is what a host checks a version by.
        logger.debug('rebuilt %s', changed.digest)


def _change(share: float) -> Change:
    before = make_declaration(FULL.scaled(share))
    route_id, route = next(iter(before.routes_by_id.items()))
    routes_by_id = dict(before.routes_by_id)
    routes_by_id[route_id] = dataclasses.replace(route, timeout_ms=1)
    after = dataclasses.replace(before, routes_by_id=routes_by_id)
    return Change(before=before, after=after, delta=make_delta(before, after))


def best_ms(step: Callable[[], object]) -> float:
    """Return the processor time of the fastest of a few repeats."""
    return min(_once_ms(step) for _ in range(REPEATS))


def _once_ms(step: Callable[[], object]) -> float:
    # A collection in the middle would be charged to one size only.
    gc.collect()
    gc.disable()
    begun = time.process_time_ns()
    step()
    used_ms = (time.process_time_ns() - begun) / NANOS_PER_MILLI
    gc.enable()
    return used_ms


def _sizes(field: str, count: int) -> Sizes:
    least = {name: 1 for name in VARIED}
    return Sizes(**{**least, field: count})


def _bytes(field: str, count: int) -> float:
    return len(make_declaration(_sizes(field, count)).body)


def _decode_ms(field: str, count: int) -> float:
    body = make_declaration(_sizes(field, count)).body
    return best_ms(functools.partial(unpack, body))


def _memory(field: str, count: int) -> float:
    body = make_declaration(_sizes(field, count)).body
    gc.collect()
    tracemalloc.start()
    kept = [unpack(body)]
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return used

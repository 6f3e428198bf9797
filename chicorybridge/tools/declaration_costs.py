"""What a declaration costs a host: bytes, memory, time, by its size."""

import functools
import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator

from chicorybridge.clocks import NANOS_PER_MILLI
from chicorybridge.codecs import unpack
from chicorybridge.tools.slopes import Slope, fit, measure_each
from chicorybridge.tools.synthetics import Sizes, make_declaration

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


def best_ms(step: Callable[[], object]) -> float:
    """Return the processor time of the fastest of a few repeats."""
    return min(_once_ms(step) for _ in range(REPEATS))


def _once_ms(step: Callable[[], object]) -> float:
    begun = time.process_time_ns()
    step()
    return (time.process_time_ns() - begun) / NANOS_PER_MILLI


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

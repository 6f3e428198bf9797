"""Linear fits of measured costs, to estimate the costs of larger sizes."""

import dataclasses
import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import Any

MIN_POINTS = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """Linear fit of a cost that was measured at several sizes.

    `points` are pairs of size and cost. `per_unit` and `fixed` are the
    slope and intercept of the least-squares line; `worst_share` is the
    largest relative distance of a point from it.
    """

    name: str
    unit: str
    size_unit: str
    points: tuple[tuple[float, float], ...]
    per_unit: float
    fixed: float
    worst_share: float

    def estimate_at(self, size: float) -> float:
        """Return the cost that the line gives at `size`."""
        return self.fixed + self.per_unit * size

    def document(self) -> dict[str, Any]:
        """Return the fields as JSON values."""
        return dataclasses.asdict(self)


def fit(
    name: str,
    *,
    unit: str,
    size_unit: str,
    points: Iterable[tuple[float, float]],
) -> Slope:
    """Fit a line to points of size and cost.

    Raise `ValueError` with fewer than `MIN_POINTS` points.
    """
    measured = tuple(points)
    if len(measured) < MIN_POINTS:
        raise ValueError(f'{name} needs at least {MIN_POINTS} points')
    sizes, costs = zip(*measured, strict=True)
    line = statistics.linear_regression(sizes, costs)
    worst = max(
        abs(line.slope * size + line.intercept - cost)
        / max(abs(cost), abs(line.slope))
        for size, cost in measured
    )
    return Slope(
        name=name,
        unit=unit,
        size_unit=size_unit,
        points=measured,
        per_unit=line.slope,
        fixed=line.intercept,
        worst_share=worst,
    )


def measure_each(
    sizes: Sequence[int], measure: Callable[[int], float]
) -> tuple[tuple[float, float], ...]:
    """Return a pair of size and measured cost for each size."""
    return tuple((size, measure(size)) for size in sizes)

"""Straight lines through measured points, to work out larger sizes."""

import dataclasses
import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import Any

MIN_POINTS = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """A figure that was measured at several sizes.

    `per_unit` and `fixed` are the line of least squares; `worst_share` is
    the largest distance of a point from it, as a share of the point.
    """

    name: str
    unit: str
    size_unit: str
    points: tuple[tuple[float, float], ...]
    per_unit: float
    fixed: float
    worst_share: float

    def at(self, size: float) -> float:
        """Return the figure that the line gives at another size."""
        return self.fixed + self.per_unit * size

    def document(self) -> dict[str, Any]:
        """Return the slope as JSON values."""
        return dataclasses.asdict(self)


def fit(
    name: str,
    *,
    unit: str,
    size_unit: str,
    points: Iterable[tuple[float, float]],
) -> Slope:
    """Fit a line; raise `ValueError` with fewer than three points."""
    known = tuple(points)
    if len(known) < MIN_POINTS:
        raise ValueError(f'{name} needs {MIN_POINTS} points')
    sizes, figures = zip(*known, strict=True)
    line = statistics.linear_regression(sizes, figures)
    worst = max(
        abs(line.slope * size + line.intercept - figure)
        / max(abs(figure), abs(line.slope))
        for size, figure in known
    )
    return Slope(
        name=name,
        unit=unit,
        size_unit=size_unit,
        points=known,
        per_unit=line.slope,
        fixed=line.intercept,
        worst_share=worst,
    )


def measure_each(
    sizes: Sequence[int], measure: Callable[[int], float]
) -> tuple[tuple[float, float], ...]:
    """Return one point for each size."""
    return tuple((size, measure(size)) for size in sizes)

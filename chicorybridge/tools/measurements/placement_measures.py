"""Measure how hosts choose targets while they know little of each other.

python -m chicorybridge.tools.measurements.placement_measures [--seed N]

Prints collisions at full targets, requests on kept connections, the lowest
share of sound targets that got requests in 2 s, requests that may run only once
at failing targets, and failed requests, without and with preferred targets.
"""

import argparse
import dataclasses
import itertools
import sys

from chicorybridge.tools.models.placement_hosts import PlacementPlan
from chicorybridge.tools.models.placement_models import PlacementModel

WARM_UP_MS = 6000
RUN_MS = 10_000
WINDOW_MS = 2000
WINDOW_STEPS = 4
FLEETS = ((54, 113, 2), (124, 149, 3))
FAULTS = ((0, 0.5), (0.25, 0.5), (0.25, 0))


def served_share(
    model: PlacementModel, *, since: float, window_ms: float
) -> float:
    """Return the lowest share of sound targets that got requests.

    Over windows of `window_ms`, of those targets that were sound in all
    of the window.
    """
    shares = []
    start = since
    while start + window_ms <= model.schedule.now:
        shares.append(_served_in(model, start, start + window_ms))
        start += window_ms / WINDOW_STEPS
    return min(shares, default=1)


def _served_in(model: PlacementModel, start: float, end: float) -> float:
    sound = [
        target
        for target in model.targets_by_id.values()
        if target.was_sound(start, end)
    ]
    served = sum(
        any(start <= at < end for at in target.arrivals) for target in sound
    )
    return served / max(1, len(sound))


def measure(plan: PlacementPlan, *, seed: int) -> str:
    """Return a row of the table."""
    model = PlacementModel(plan, seed=seed)
    model.run(ms=WARM_UP_MS)
    model.counts.clear()
    model.run(ms=RUN_MS)
    counts = model.counts
    cells = (
        f'{plan.hosts} / {plan.targets} / {plan.slots}',
        plan.failing_share,
        plan.repeatable_share,
        plan.prefers_own_targets,
        round(counts['collisions'] / counts['arrivals'], 3),
        round(counts['kept'] / counts['arrivals'], 3),
        round(served_share(model, since=WARM_UP_MS, window_ms=WINDOW_MS), 2),
        counts['once_at_failing'],
        round(counts['failed'] / counts['requests'], 3),
    )
    return ' | '.join(str(cell) for cell in cells)


def main() -> None:
    """Print one line for each fleet and fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    for fleet, faults in itertools.product(FLEETS, FAULTS):
        plan = PlacementPlan(
            hosts=fleet[0],
            targets=fleet[1],
            slots=fleet[2],
            failing_share=faults[0],
            repeatable_share=faults[1],
        )
        for preferring in (False, True):
            row = measure(
                dataclasses.replace(plan, prefers_own_targets=preferring),
                seed=seed,
            )
            sys.stdout.write(f'{row}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()

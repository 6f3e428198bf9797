"""Measure detection times and false ejections.

    python -m chicorybridge.tools.measurements.detection_trials --help

prints one JSON object a line: one for each policy, setting and seed, and
a summary over the seeds.
"""

import argparse
import dataclasses
import json
import math
import sys
from collections.abc import Iterable
from itertools import chain

from chicorybridge.tools.models.episodes import (
    GRAY_CONDITIONS,
    run_disturbance,
    run_gray_episode,
)
from chicorybridge.tools.models.policies import PolicyName
from chicorybridge.tools.models.service_models import HARD_FAILURES, Condition
from chicorybridge.tools.simulations.detection_runs import (
    Measures,
    Setup,
    Simulation,
)

WARM_UP_MS = 20_000.0
IDLE_STEP_MS = 30_000.0
MILLIS_PER_MINUTE = 60_000.0
# Converts a share of all time to target-seconds per target-hour.
SECONDS_PER_HOUR = 3600
MAX_PRINTED_EVENTS = 20
MEDIAN_SHARE = 0.5
P90_SHARE = 0.9
# Defaults of the arguments; the load is a share of the capacity.
HOSTS = 36
TARGETS = 25
LOAD = 0.05


def run(
    setup: Setup, *, rounds: int, minutes: float, disturbed: bool
) -> Measures:
    """Run `rounds` of all gray conditions, then `minutes` without any.

    With `disturbed`, disturbances occur in the latter.
    """
    simulation = Simulation(setup=setup)
    simulation.run(for_ms=WARM_UP_MS)
    simulation.fleet.channel.store.outage = not setup.store_up
    simulation.is_measured = True
    for _ in range(rounds):
        for condition in simulation.rng.sample(
            GRAY_CONDITIONS, len(GRAY_CONDITIONS)
        ):
            run_gray_episode(simulation, condition)
    end = simulation.now + minutes * MILLIS_PER_MINUTE
    while simulation.now < end:
        if disturbed:
            run_disturbance(simulation)
        simulation.run(for_ms=IDLE_STEP_MS)
    return simulation.measures


def summarise(runs: Iterable[Measures]) -> dict:
    """Return the summary of several runs; times are in milliseconds."""
    runs = tuple(runs)
    times: dict[Condition, list[float]] = {
        condition: list(
            chain.from_iterable(
                measures.detection_by_condition.get(condition, ())
                for measures in runs
            )
        )
        for condition in GRAY_CONDITIONS
    }
    target_ms = sum(measures.target_ms for measures in runs) or 1
    return {
        'hard': _quantiles(
            chain.from_iterable(times[each] for each in HARD_FAILURES)
        ),
        'slow3': _quantiles(times[Condition.slow3]),
        'all': _quantiles(chain.from_iterable(times.values())),
        'by_condition': {
            condition.value: _quantiles(times[condition])
            for condition in GRAY_CONDITIONS
        },
        'target_hours': _rounded(target_ms / MILLIS_PER_MINUTE / 60),
        'false_per_hour': _rounded(
            SECONDS_PER_HOUR
            * sum(measures.false_target_ms for measures in runs)
            / target_ms
        ),
        'late_per_hour': _rounded(
            SECONDS_PER_HOUR
            * sum(measures.late_target_ms for measures in runs)
            / target_ms
        ),
        'false_events': sum(len(measures.false_events) for measures in runs),
        'attempts': sum(measures.attempts for measures in runs),
        'failures': sum(measures.failures for measures in runs),
    }


def _quantiles(times: Iterable[float]) -> dict:
    ordered = sorted(times)
    if not ordered:
        return {'count': 0}
    return {
        'count': len(ordered),
        'p50': _rounded(_quantile(ordered, MEDIAN_SHARE)),
        'p90': _rounded(_quantile(ordered, P90_SHARE)),
        'max': _rounded(ordered[-1]),
        'missed': sum(math.isinf(each) for each in ordered),
    }


def _quantile(ordered: list[float], share: float) -> float:
    """Return the smallest time that a `share` of all does not exceed."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _rounded(number: float) -> float | str:
    return 'inf' if math.isinf(number) else round(number, 2)


def _parse(words: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    names = [policy.value for policy in PolicyName]
    parser.add_argument('--policy', choices=names, default=names[0])
    parser.add_argument('--hosts', type=int, default=HOSTS)
    parser.add_argument('--targets', type=int, default=TARGETS)
    parser.add_argument('--load', type=float, default=LOAD)
    parser.add_argument('--sensitivity', type=float, nargs='+', default=[0.5])
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--rounds', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=0)
    parser.add_argument('--disturbed', action='store_true')
    parser.add_argument('--store-down', action='store_true')
    return parser.parse_args(words)


def main() -> None:
    """Run all settings of the arguments and print their results."""
    arguments = _parse(sys.argv[1:])
    for sensitivity in arguments.sensitivity:
        runs = []
        for seed in arguments.seeds:
            setup = Setup(
                policy=PolicyName(arguments.policy),
                hosts=arguments.hosts,
                targets=arguments.targets,
                load=arguments.load,
                sensitivity=sensitivity,
                seed=seed,
                store_up=not arguments.store_down,
            )
            measures = run(
                setup,
                rounds=arguments.rounds,
                minutes=arguments.minutes,
                disturbed=arguments.disturbed,
            )
            runs.append(measures)
            for event in measures.false_events[:MAX_PRINTED_EVENTS]:
                _print_json({'seed': seed, 'false': event})
        _print_json({**_setup_values(setup), **summarise(runs)})


def _setup_values(setup: Setup) -> dict:
    return {**dataclasses.asdict(setup), 'policy': setup.policy.value}


def _print_json(record: dict) -> None:
    sys.stdout.write(f'{json.dumps(record)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()

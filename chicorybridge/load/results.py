"""Read, write and compare results of experiments in JSON."""

import dataclasses
import json
import os
import pathlib
import platform
from collections.abc import Iterator
from typing import Any

from chicorybridge.common.clocks import Clock
from chicorybridge.load.experiments import Experiment
from chicorybridge.load.runs import RunOutcome

# Results of any other version are refused.
FORMAT_VERSION = 1

PROCESSOR_FIGURE = 'processor_ms_per_request'

COMPARED_FIGURES = ('p50_ms', 'p90_ms', 'p99_ms', 'max_ms')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """One figure of two results.

    `before` is `None` if the earlier result lacks it.
    """

    group: str
    figure: str
    before: float | None
    after: float


def make_result(
    experiment: Experiment, outcome: RunOutcome, *, clock: Clock
) -> dict[str, Any]:
    """Return the result of a run as JSON values."""
    return {
        'format': FORMAT_VERSION,
        'name': experiment.name,
        'seed': experiment.seed,
        'finished_at_ms': round(clock.wall_time()),
        'machine': describe_machine(),
        'settings': experiment.document(),
        'groups': outcome.groups_by_name,
        'processes': outcome.processes_by_name,
        'targets': {
            name: _without_keys(counts)
            for name, counts in outcome.counts_by_target.items()
        },
        'faults': outcome.faults,
        'verdict': dataclasses.asdict(outcome.promise_check),
    }


def describe_machine() -> dict[str, Any]:
    """Return the properties of the machine that affect the figures."""
    return {
        'processors': os.cpu_count(),
        'load_average': os.getloadavg()[0],
        'architecture': platform.machine(),
        'system': platform.system(),
        'python': platform.python_version(),
    }


def write_result(result: dict[str, Any], path: pathlib.Path) -> None:
    """Write a result to a file."""
    path.write_text(json.dumps(result, indent=1, sort_keys=True))


def read_result(path: pathlib.Path) -> dict[str, Any]:
    """Read a result; raise `OSError`, or `ValueError` for another format."""
    result = json.loads(path.read_text())
    if not isinstance(result, dict) or result.get('format') != FORMAT_VERSION:
        raise ValueError(
            f'{path.name} is not a result of format version {FORMAT_VERSION}'
        )
    return result


def compare(
    after: dict[str, Any], before: dict[str, Any] | None
) -> Iterator[Difference]:
    """Yield latencies and processor times with the earlier values."""
    earlier = before or {'groups': {}, 'processes': {}}
    for group, recorded in after['groups'].items():
        latency = earlier['groups'].get(group, {}).get('latency', {})
        for figure in COMPARED_FIGURES:
            yield Difference(
                group=group,
                figure=figure,
                before=latency.get(figure),
                after=recorded['latency'][figure],
            )
    for name, usage in after['processes'].items():
        yield Difference(
            group=name,
            figure=PROCESSOR_FIGURE,
            before=earlier['processes'].get(name, {}).get(PROCESSOR_FIGURE),
            after=usage[PROCESSOR_FIGURE],
        )


def _without_keys(counts: dict[str, Any]) -> dict[str, Any]:
    """Replace the maps of keys and digests by their sizes.

    The maps are large, and only the promise check needs them, which is
    already done.
    """
    return {
        **counts,
        'runs_by_key': len(counts['runs_by_key']),
        'uploads': len(counts['uploads']),
    }

"""Measure choice of target, limits, quarantine and bytes across regions.

Run `python -m chicorybridge.tools.measurements.choice_measures [--seed N]`.
"""

import argparse
import sys
from collections.abc import Callable, Sequence

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.identities import TargetId
from chicorybridge.configuration.declarations import Priority
from chicorybridge.tools.models.crash_models import CrashModel, CrashPlan
from chicorybridge.tools.models.entry_models import Call
from chicorybridge.tools.models.fleet_models import (
    FleetModel,
    Load,
    Policy,
    capacity_of,
    completed,
    percentile,
)
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare
from chicorybridge.tools.models.target_models import Behaviour
from chicorybridge.tools.models.upload_models import UploadModel, UploadPlan

HOSTS = 40
# Mean of the log-normal service time: the median of 50 ms times this.
MEAN_TO_MEDIAN = 1.133
WORK_MS = 50
GRAY = TargetId('quotes-5')
GRAY_SLOWNESS = 3
RUN_MS = 15_000
SETTLE_MS = 5000
LINK_MS = 120_000
HALF, MOST = 0.5, 0.99
DIGITS = 3
PRIORITY_SHARES = ((Priority.low, 0.8), (Priority.high, 0.2))

TARGETS = 30
CRASH_MS = 2000
TIMEOUT_MS = 2000
CUT_LINKS = 0.2
DYING_TARGETS = 12

QUOTES = declare(ServiceShape(targets=TARGETS, old_every=3))
CAPACITY = capacity_of(QUOTES, work_ms=WORK_MS * MEAN_TO_MEDIAN)


def measure_choice(seed: int) -> None:
    """Compare with the baselines: mixed hardware, one gray target."""
    _say('choice: 30 targets, a third old, one gray 3x')
    _say('  load  policy  p50 ms  p99 ms  whole answers  at the gray one')
    for share in (0.4, 0.6, 0.85):
        for policy in Policy:
            fleet = FleetModel(
                QUOTES,
                entries=HOSTS,
                policy=policy,
                seed=seed,
                adjust=_gray,
            )
            calls = _run(fleet, Load(per_second=share * CAPACITY))
            _print_choice(share, policy, calls)


def measure_overload(seed: int) -> None:
    """Step from half load to a multiple of the capacity."""
    for shed_queue in (12, None):
        _say(f'overload: queue of targets {shed_queue}, none sheds if None')
        _say('  load  answers/s  of capacity  p99 ms  retries  low  high')
        for share in (1.0, 1.5, 2.0, 3.0):
            fleet = FleetModel(
                QUOTES,
                entries=HOSTS,
                policy=Policy.chicorybridge,
                seed=seed,
                adjust=_queueing(shed_queue),
            )
            fleet.start_load(
                Load(per_second=CAPACITY * HALF),
                service='quotes',
                for_ms=SETTLE_MS,
            )
            fleet.run(for_ms=SETTLE_MS)
            fleet.calls.clear()
            load = Load(
                per_second=share * CAPACITY,
                timeout_ms=TIMEOUT_MS,
                priority_shares=PRIORITY_SHARES,
            )
            _print_overload(share, _run(fleet, load))


def measure_quarantine(seed: int) -> None:
    """Count victims of one request that is repeated through 40 hosts."""
    _say('quarantine: victims and others refused, five seeds each')
    plans = {
        'idempotent': CrashPlan(for_ms=CRASH_MS),
        'non-idempotent': CrashPlan(for_ms=CRASH_MS, idempotent=False),
        'a fifth of links cut': CrashPlan(for_ms=CRASH_MS, cut_links=CUT_LINKS),
        '12 targets die besides': CrashPlan(
            for_ms=CRASH_MS, dying_targets=DYING_TARGETS
        ),
        'two such requests': CrashPlan(for_ms=CRASH_MS, crashing=2),
    }
    for name, plan in plans.items():
        victims = []
        refused = []
        for offset in range(5):
            model = CrashModel(QUOTES, plan, seed=seed + offset)
            model.run()
            victims.append(model.crashes - plan.dying_targets)
            refused.append(model.refused_wrongly)
        _say(f'  {name}: victims {victims}, others refused {refused}')


def measure_link(seed: int) -> None:
    """Send uploads of 4 MiB beside reads over 30 Mbit/s."""
    _say('link: 100 reads/s of 4 KiB beside uploads')
    _say('  uploads/s  paced  read p50  p99 ms  refused  done  photo Mbit/s')
    declaration = declare(
        ServiceShape(name='quotes'), ServiceShape(name='photos')
    )
    for per_second in (0.1, 0.5, 1.5):
        for paced in (False, True):
            plan = UploadPlan(uploads_per_second=per_second, paced=paced)
            model = UploadModel(declaration, plan, seed=seed)
            model.run(for_ms=LINK_MS)
            _print_link(plan, model)


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    _say(f'seed {seed}, {HOSTS} hosts, capacity {CAPACITY:.0f} a second')
    measure_choice(seed)
    measure_overload(seed)
    measure_quarantine(seed)
    measure_link(seed)


def _say(*parts: object) -> None:
    sys.stdout.write('  '.join(str(part) for part in parts))
    sys.stdout.write('\n')


def _run(fleet: FleetModel, load: Load) -> Sequence[Call]:
    """Return the calls that came after the fleet had settled."""
    began = fleet.schedule.now
    fleet.start_load(load, service='quotes', for_ms=RUN_MS)
    fleet.run(for_ms=RUN_MS + load.timeout_ms)
    return [
        call for call in fleet.calls if call.started_at >= began + SETTLE_MS
    ]


def _gray(target_id: TargetId, behaviour: Behaviour) -> None:
    if target_id == GRAY:
        behaviour.slowness = GRAY_SLOWNESS


def _queueing(
    shed_queue: int | None,
) -> Callable[[TargetId, Behaviour], None]:
    def adjust(_: TargetId, behaviour: Behaviour) -> None:  # noqa: WPS430
        behaviour.shed_queue = shed_queue

    return adjust


def _print_choice(share: float, policy: Policy, calls: Sequence[Call]) -> None:
    whole = completed(calls)
    waits = [call.elapsed_ms for call in whole]
    attempts = [attempt for call in calls for attempt in call.attempts]
    gray = sum(attempt.target_id == GRAY for attempt in attempts)
    _say(
        '',
        share,
        policy.value,
        round(percentile(waits, HALF)),
        round(percentile(waits, MOST)),
        round(len(whole) / len(calls), DIGITS),
        round(gray / len(attempts), DIGITS),
    )


def _print_overload(share: float, calls: Sequence[Call]) -> None:
    whole = completed(calls)
    waits = [call.elapsed_ms for call in whole]
    seconds = (RUN_MS - SETTLE_MS) / MILLIS_PER_SECOND
    rate = len(whole) / seconds
    extra = sum(max(0, len(call.attempts) - 1) for call in calls)
    first = sum(bool(call.attempts) for call in calls)
    parts = [_served(calls, priority) for priority, _ in PRIORITY_SHARES]
    _say(
        '',
        share,
        round(rate),
        round(rate / CAPACITY, DIGITS),
        round(percentile(waits, MOST)),
        round(extra / first, DIGITS),
        *parts,
    )


def _served(calls: Sequence[Call], priority: Priority) -> float:
    chosen = [call for call in calls if call.priority is priority]
    return round(len(completed(chosen)) / len(chosen), DIGITS)


def _print_link(plan: UploadPlan, model: UploadModel) -> None:
    waits = model.read_ms
    rate = model.crossed_bytes('photos') * 8 / LINK_MS / MILLIS_PER_SECOND
    _say(
        '',
        plan.uploads_per_second,
        plan.paced,
        round(percentile(waits, HALF)),
        round(percentile(waits, MOST)),
        model.reads_refused,
        f'{len(model.upload_ms)} of {model.uploads_started}',
        round(rate, 1),
    )


if __name__ == '__main__':
    main()

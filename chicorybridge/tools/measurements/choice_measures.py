"""Measure target selection, limits, quarantine and bytes across regions.

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
# Mean of the log-normal service time, relative to its median of 50 ms.
MEAN_TO_MEDIAN = 1.133
WORK_MS = 50
GRAY_TARGET_ID = TargetId('quotes-5')
GRAY_SLOWNESS = 3
RUN_MS = 15_000
SETTLE_MS = 5000
LINK_RUN_MS = 120_000
MEDIAN, P99 = 0.5, 0.99
ROUND_DIGITS = 3
PRIORITY_SHARES = ((Priority.low, 0.8), (Priority.high, 0.2))

TARGETS = 30
CRASH_RUN_MS = 2000
TIMEOUT_MS = 2000
CUT_LINKS = 0.2
DYING_TARGETS = 12

DECLARATION = declare(ServiceShape(targets=TARGETS, old_every=3))
CAPACITY = capacity_of(DECLARATION, work_ms=WORK_MS * MEAN_TO_MEDIAN)


def measure_choice(seed: int) -> None:
    """Compare with the baselines on mixed hardware and one gray target."""
    _print_line('choice: 30 targets, a third on old hardware, one 3x slower')
    _print_line(
        '  load  policy  p50 ms  p99 ms  complete share  gray target share'
    )
    for share in (0.4, 0.6, 0.85):
        for policy in Policy:
            fleet = FleetModel(
                DECLARATION,
                entries=HOSTS,
                policy=policy,
                seed=seed,
                adjust=_slow_gray_target,
            )
            calls = _run(fleet, Load(per_second=share * CAPACITY))
            _print_choice(share, policy, calls)


def measure_overload(seed: int) -> None:
    """Measure load at and above the capacity, after half of the capacity."""
    for shed_queue in (12, None):
        _print_line(
            f'overload: targets shed at a queue of {shed_queue} (None: never)'
        )
        _print_line(
            '  load  answers/s  of capacity  p99 ms  retries  low  high'
        )
        for share in (1.0, 1.5, 2.0, 3.0):
            fleet = FleetModel(
                DECLARATION,
                entries=HOSTS,
                policy=Policy.chicorybridge,
                seed=seed,
                adjust=_shed_queue_of(shed_queue),
            )
            fleet.start_load(
                Load(per_second=CAPACITY * MEDIAN),
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
    """Count targets crashed by requests that are repeated through 40 hosts."""
    _print_line(
        'quarantine: victims and wrongly refused calls, five seeds each'
    )
    plans = {
        'idempotent': CrashPlan(for_ms=CRASH_RUN_MS),
        'non-idempotent': CrashPlan(for_ms=CRASH_RUN_MS, idempotent=False),
        'a fifth of the links cut': CrashPlan(
            for_ms=CRASH_RUN_MS, cut_links=CUT_LINKS
        ),
        '12 other crashes': CrashPlan(
            for_ms=CRASH_RUN_MS, dying_targets=DYING_TARGETS
        ),
        'two crashing requests': CrashPlan(for_ms=CRASH_RUN_MS, crashing=2),
    }
    for name, plan in plans.items():
        victims = []
        wrongly_refused = []
        for offset in range(5):
            model = CrashModel(DECLARATION, plan, seed=seed + offset)
            model.run()
            victims.append(model.crashes - plan.dying_targets)
            wrongly_refused.append(model.refused_wrongly)
        _print_line(
            f'  {name}: victims {victims}, wrongly refused {wrongly_refused}'
        )


def measure_link(seed: int) -> None:
    """Measure reads and uploads of 4 MiB that share a link of 30 Mbit/s."""
    _print_line('link: 100 reads/s of 4 KiB and uploads')
    _print_line(
        '  uploads/s  paced  read p50  p99 ms  refused  done  photo Mbit/s'
    )
    declaration = declare(
        ServiceShape(name='quotes'), ServiceShape(name='photos')
    )
    for per_second in (0.1, 0.5, 1.5):
        for paced in (False, True):
            plan = UploadPlan(uploads_per_second=per_second, paced=paced)
            model = UploadModel(declaration, plan, seed=seed)
            model.run(for_ms=LINK_RUN_MS)
            _print_link(plan, model)


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    _print_line(
        f'seed {seed}, {HOSTS} hosts, capacity {CAPACITY:.0f} requests/s'
    )
    measure_choice(seed)
    measure_overload(seed)
    measure_quarantine(seed)
    measure_link(seed)


def _print_line(*cells: object) -> None:
    sys.stdout.write('  '.join(str(cell) for cell in cells))
    sys.stdout.write('\n')


def _run(fleet: FleetModel, load: Load) -> Sequence[Call]:
    """Run under load; return the calls that started after `SETTLE_MS`."""
    started_at = fleet.schedule.now
    fleet.start_load(load, service='quotes', for_ms=RUN_MS)
    fleet.run(for_ms=RUN_MS + load.timeout_ms)
    return [
        call
        for call in fleet.calls
        if call.started_at >= started_at + SETTLE_MS
    ]


def _slow_gray_target(target_id: TargetId, behaviour: Behaviour) -> None:
    if target_id == GRAY_TARGET_ID:
        behaviour.slowness = GRAY_SLOWNESS


def _shed_queue_of(
    shed_queue: int | None,
) -> Callable[[TargetId, Behaviour], None]:
    def adjust(_: TargetId, behaviour: Behaviour) -> None:  # noqa: WPS430
        behaviour.shed_queue = shed_queue

    return adjust


def _print_choice(share: float, policy: Policy, calls: Sequence[Call]) -> None:
    complete = completed(calls)
    waits = [call.elapsed_ms for call in complete]
    attempts = [attempt for call in calls for attempt in call.attempts]
    gray_attempts = sum(
        attempt.target_id == GRAY_TARGET_ID for attempt in attempts
    )
    _print_line(
        '',
        share,
        policy.value,
        round(percentile(waits, MEDIAN)),
        round(percentile(waits, P99)),
        round(len(complete) / len(calls), ROUND_DIGITS),
        round(gray_attempts / len(attempts), ROUND_DIGITS),
    )


def _print_overload(share: float, calls: Sequence[Call]) -> None:
    complete = completed(calls)
    waits = [call.elapsed_ms for call in complete]
    seconds = (RUN_MS - SETTLE_MS) / MILLIS_PER_SECOND
    rate = len(complete) / seconds
    retries = sum(max(0, len(call.attempts) - 1) for call in calls)
    attempted = sum(bool(call.attempts) for call in calls)
    shares = [
        _complete_share(calls, priority) for priority, _ in PRIORITY_SHARES
    ]
    _print_line(
        '',
        share,
        round(rate),
        round(rate / CAPACITY, ROUND_DIGITS),
        round(percentile(waits, P99)),
        round(retries / attempted, ROUND_DIGITS),
        *shares,
    )


def _complete_share(calls: Sequence[Call], priority: Priority) -> float:
    selected = [call for call in calls if call.priority is priority]
    return round(len(completed(selected)) / len(selected), ROUND_DIGITS)


def _print_link(plan: UploadPlan, model: UploadModel) -> None:
    waits = model.read_ms
    rate = model.crossed_bytes('photos') * 8 / LINK_RUN_MS / MILLIS_PER_SECOND
    _print_line(
        '',
        plan.uploads_per_second,
        plan.paced,
        round(percentile(waits, MEDIAN)),
        round(percentile(waits, P99)),
        model.reads_refused,
        f'{len(model.upload_ms)} of {model.uploads_started}',
        round(rate, 1),
    )


if __name__ == '__main__':
    main()

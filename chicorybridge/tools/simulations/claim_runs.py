"""Randomised simulations of the claims of many hosts under faults.

    python -m chicorybridge.tools.simulations.claim_runs \
        run --seed 1 --minutes 60
    python -m chicorybridge.tools.simulations.claim_runs \
        run --outage --minutes 120

Each run prints its seed first. The promises are checked during the run; a
broken one ends the command.
"""

import dataclasses
import json
import random
from collections import Counter

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from chicorybridge.claims.request_keys import parse_issued_key
from chicorybridge.common.identities import Digest, HostId, RequestKey
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.settings import TICK_MS
from chicorybridge.tools.models.keyed_entries import Caller, Runner
from chicorybridge.tools.simulations.channels import FaultyChannel
from chicorybridge.tools.simulations.claim_faults import ClaimFaults
from chicorybridge.tools.simulations.claim_fleets import ClaimFleet

MINUTE_MS = 60_000
SECOND_MS = 1000
OUTAGE_HOSTS = 40
DAY_MS = 86_400_000
EARLY_RETRY_MS = (500, 8000)
RETRY_PAUSE_MS = (100, 20_000)
MAX_ATTEMPTS = 6
REPEAT_SHARE = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunPlan:
    """Load and faults of one run.

    `caller_key_share` of the callers choose their keys themselves;
    `early_retry_share` of the attempts are repeated before their answer;
    `restarts_per_day` is the number of planned and other restarts of a
    host; `outage` makes the store unavailable during the whole run.
    """

    seed: int
    hosts: int = 6
    requests_per_second: float = 2
    caller_key_share: float = 0.3
    early_retry_share: float = 0.3
    fault_interval_ms: float = 8000
    loss_share: float = 0.02
    duplicate_share: float = 0.05
    unanswered_share: float = 0.05
    shed_share: float = 0.1
    cut_share: float = 0.1
    restarts_per_day: float = 0
    outage: bool = False

    @classmethod
    def of_outage(cls, *, seed: int) -> 'RunPlan':
        """Return a plan of healthy hosts and an unavailable platform."""
        return cls(
            seed=seed,
            hosts=OUTAGE_HOSTS,
            fault_interval_ms=0,
            loss_share=0,
            duplicate_share=0,
            shed_share=0,
            cut_share=0,
            restarts_per_day=1,
            outage=True,
        )


class ClaimRun:
    """Simulate callers of a fleet under faults."""

    def __init__(self, *, plan: RunPlan) -> None:
        """Start all hosts of `plan`."""
        self.plan = plan
        self.channel = FaultyChannel(seed=plan.seed)
        self.channel.loss_share = plan.loss_share
        self.channel.duplicate_share = plan.duplicate_share
        self.channel.store.unanswered_share = plan.unanswered_share
        self.channel.store.outage = plan.outage
        self.rng = random.Random(plan.seed)
        self.fleet = ClaimFleet(
            channel=self.channel,
            rng=self.rng,
            runner=Runner(
                rng=self.rng,
                shed_share=plan.shed_share,
                cut_share=plan.cut_share,
            ),
            hosts=plan.hosts,
        )
        self.callers: list[Caller] = []
        self._active: list[Caller] = []
        self._faults = ClaimFaults(fleet=self.fleet, rng=self.rng)
        self._next_fault_at = plan.fault_interval_ms

    def run(self, *, minutes: float) -> None:
        """Simulate the given number of minutes."""
        end = self.channel.clock.now() + minutes * MINUTE_MS
        while self.channel.clock.now() < end:
            self._inject_faults()
            self._add_caller()
            self._send_due()
            self.fleet.step()

    def report(self) -> dict[str, object]:
        """Return counts of first and last outcomes, runs and transactions."""
        issued = [caller for caller in self.callers if _is_issued(caller)]
        caller_chosen = [
            caller for caller in self.callers if not _is_issued(caller)
        ]
        return {
            'seed': self.plan.seed,
            'keys': len(self.callers),
            'runs': self.fleet.runner.runs_by_key.total(),
            'transactions': self.fleet.transactions,
            'issued_first': _count_outcomes(issued, 0),
            'issued_last': _count_outcomes(issued, -1),
            'foreign_first': _count_outcomes(caller_chosen, 0),
            'foreign_last': _count_outcomes(caller_chosen, -1),
        }

    def _inject_faults(self) -> None:
        now = self.channel.clock.now()
        self._faults.end_due()
        if self.plan.fault_interval_ms and now >= self._next_fault_at:
            self._next_fault_at = now + self.rng.expovariate(
                1 / self.plan.fault_interval_ms
            )
            self._faults.start()
        restarts = self.plan.restarts_per_day * self.plan.hosts
        if self.rng.random() < restarts * TICK_MS / DAY_MS:
            self.fleet.replace_host(self._random_host())

    def _random_host(self) -> HostId:
        return self.rng.choice(sorted(self.fleet.claims_by_host))

    def _add_caller(self) -> None:
        share = self.plan.requests_per_second * TICK_MS / SECOND_MS
        if self.rng.random() >= share:
            return
        issuer = self._random_host()
        prefix = self.fleet.key_prefix_of(issuer)
        if self.rng.random() < self.plan.caller_key_share:
            prefix = 'caller-'
        key = RequestKey(f'{prefix}{len(self.callers)}')
        caller = Caller(
            key=key,
            fingerprint=Digest(key),
            next_at=self.channel.clock.now(),
            issuer=issuer,
        )
        self.callers.append(caller)
        self._active.append(caller)

    def _send_due(self) -> None:
        now = self.channel.clock.now()
        due = [caller for caller in self._active if caller.next_at <= now]
        if not due:
            return
        for caller in due:
            if self._is_done(caller):
                self._active.remove(caller)
            else:
                self._send_attempt(caller)

    def _is_done(self, caller: Caller) -> bool:
        if caller.attempts >= MAX_ATTEMPTS:
            return True
        if (
            not caller.outcomes
            or caller.outcomes[-1] is not RequestOutcome.complete
        ):
            return False
        return self.rng.random() >= REPEAT_SHARE

    def _send_attempt(self, caller: Caller) -> None:
        now = self.channel.clock.now()
        host_id = self._random_host() if caller.attempts else caller.issuer
        caller.next_at = float('inf')
        caller.pause_ms = self.rng.uniform(*RETRY_PAUSE_MS)
        if host_id in self.fleet.paused_entries:
            # The entry does not answer: the caller retries at another host.
            caller.next_at = now + SECOND_MS
            caller.issuer = self._random_host()
            return
        if self.rng.random() < self.plan.early_retry_share:
            caller.next_at = now + self.rng.uniform(*EARLY_RETRY_MS)
        self.fleet.entries_by_host[host_id].request_claim(caller, now=now)


def _is_issued(caller: Caller) -> bool:
    return parse_issued_key(caller.key) is not None


def _count_outcomes(callers: list[Caller], index: int) -> dict[str, int]:
    count_by_outcome = Counter(
        caller.outcomes[index].value for caller in callers if caller.outcomes
    )
    return dict(sorted(count_by_outcome.items()))


class RunCommand(Command):
    """Simulate each seed and print its report as a line of JSON."""

    name = 'run'
    description = 'Run the claims of many hosts under faults.'
    options = [
        option('seed', None, 'First seed', flag=False, default='1'),
        option('seeds', None, 'Number of seeds', flag=False, default='1'),
        option('minutes', None, 'Simulated minutes', flag=False, default='60'),
        option(
            'outage',
            None,
            'Make the platform unavailable; the only host faults are restarts',
        ),
    ]

    def handle(self) -> int:
        """Simulate every seed; a broken promise ends the command."""
        first = int(self.option('seed'))
        for seed in range(first, first + int(self.option('seeds'))):
            self.line(f'seed {seed}')
            plan = RunPlan(seed=seed)
            if self.option('outage'):
                plan = RunPlan.of_outage(seed=seed)
            claim_run = ClaimRun(plan=plan)
            claim_run.run(minutes=float(self.option('minutes')))
            self.line(json.dumps(claim_run.report()))
        return 0


def main() -> None:
    """Run the command line."""
    application = Application('claim_runs')
    application.add(RunCommand())
    application.run()


if __name__ == '__main__':
    main()

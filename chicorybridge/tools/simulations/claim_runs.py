"""Randomised runs of the claims of many hosts under faults.

    python -m chicorybridge.tools.simulations.claim_runs \
        run --seed 1 --minutes 60
    python -m chicorybridge.tools.simulations.claim_runs \
        run --outage --minutes 120

Promises are asserted on the way; a broken one ends the run with its seed.
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
PATIENCE_MS = (500, 8000)
PAUSE_MS = (100, 20_000)
MAX_TRIES = 6
REPEAT_SHARE = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunPlan:
    """Load and faults of one run.

    `foreign_share` of the callers choose their keys themselves;
    `impatient_share` of the tries are repeated before their answer;
    `restarts_per_day` counts the planned and other ends of one host.
    """

    seed: int
    hosts: int = 6
    requests_per_second: float = 2
    foreign_share: float = 0.3
    impatient_share: float = 0.3
    fault_pause_ms: float = 8000
    loss_share: float = 0.02
    duplicate_share: float = 0.05
    unanswered_share: float = 0.05
    shed_share: float = 0.1
    cut_share: float = 0.1
    restarts_per_day: float = 0
    outage: bool = False

    @classmethod
    def of_outage(cls, *, seed: int) -> 'RunPlan':
        """Return a plan of healthy hosts without the platform."""
        return cls(
            seed=seed,
            hosts=OUTAGE_HOSTS,
            fault_pause_ms=0,
            loss_share=0,
            duplicate_share=0,
            shed_share=0,
            cut_share=0,
            restarts_per_day=1,
            outage=True,
        )


class ClaimRun:
    """Let callers come and go at a fleet under faults."""

    def __init__(self, *, plan: RunPlan) -> None:
        """Start all hosts."""
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
        self._next_fault = plan.fault_pause_ms

    def run(self, *, minutes: float) -> None:
        """Run for simulated minutes."""
        end = self.channel.clock.now() + minutes * MINUTE_MS
        while self.channel.clock.now() < end:
            self._fail()
            self._arrive()
            self._send()
            self.fleet.step()

    def report(self) -> dict[str, object]:
        """Return what callers were told, first and last, and the cost."""
        issued = [caller for caller in self.callers if _is_issued(caller)]
        foreign = [caller for caller in self.callers if not _is_issued(caller)]
        return {
            'seed': self.plan.seed,
            'keys': len(self.callers),
            'runs': self.fleet.runner.runs_by_key.total(),
            'transactions': self.fleet.transactions,
            'issued_first': _told(issued, 0),
            'issued_last': _told(issued, -1),
            'foreign_first': _told(foreign, 0),
            'foreign_last': _told(foreign, -1),
        }

    def _fail(self) -> None:
        now = self.channel.clock.now()
        self._faults.mend()
        if self.plan.fault_pause_ms and now >= self._next_fault:
            self._next_fault = now + self.rng.expovariate(
                1 / self.plan.fault_pause_ms
            )
            self._faults.start()
        restarts = self.plan.restarts_per_day * self.plan.hosts
        if self.rng.random() < restarts * TICK_MS / DAY_MS:
            self.fleet.replace_host(self._host())

    def _host(self) -> HostId:
        return self.rng.choice(sorted(self.fleet.claims_by_host))

    def _arrive(self) -> None:
        share = self.plan.requests_per_second * TICK_MS / SECOND_MS
        if self.rng.random() >= share:
            return
        issuer = self._host()
        prefix = self.fleet.prefix_of(issuer)
        if self.rng.random() < self.plan.foreign_share:
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

    def _send(self) -> None:
        now = self.channel.clock.now()
        due = [caller for caller in self._active if caller.next_at <= now]
        if not due:
            return
        for caller in due:
            if self._is_done(caller):
                self._active.remove(caller)
            else:
                self._try(caller)

    def _is_done(self, caller: Caller) -> bool:
        if caller.attempts >= MAX_TRIES:
            return True
        if (
            not caller.outcomes
            or caller.outcomes[-1] is not RequestOutcome.complete
        ):
            return False
        return self.rng.random() >= REPEAT_SHARE

    def _try(self, caller: Caller) -> None:
        now = self.channel.clock.now()
        host_id = self._host() if caller.attempts else caller.issuer
        caller.next_at = float('inf')
        caller.pause_ms = self.rng.uniform(*PAUSE_MS)
        if host_id in self.fleet.paused_entries:
            # The connection is not answered: the caller goes elsewhere.
            caller.next_at = now + SECOND_MS
            caller.issuer = self._host()
            return
        if self.rng.random() < self.plan.impatient_share:
            caller.next_at = now + self.rng.uniform(*PATIENCE_MS)
        self.fleet.entries_by_host[host_id].request_claim(caller, now=now)


def _is_issued(caller: Caller) -> bool:
    return parse_issued_key(caller.key) is not None


def _told(callers: list[Caller], place: int) -> dict[str, int]:
    told = Counter(
        caller.outcomes[place].value for caller in callers if caller.outcomes
    )
    return dict(sorted(told.items()))


class RunCommand(Command):
    """Run and print the report of each seed as a line of JSON."""

    name = 'run'
    description = 'Run the claims of many hosts under faults.'
    options = [
        option('seed', None, 'First seed', flag=False, default='1'),
        option('seeds', None, 'Number of seeds', flag=False, default='1'),
        option('minutes', None, 'Simulated', flag=False, default='60'),
        option('outage', None, 'Healthy hosts without the platform'),
    ]

    def handle(self) -> int:
        """Run every seed; a broken promise ends the command."""
        first = int(self.option('seed'))
        for seed in range(first, first + int(self.option('seeds'))):
            self.line(f'seed {seed}')
            plan = RunPlan(seed=seed)
            if self.option('outage'):
                plan = RunPlan.of_outage(seed=seed)
            trial = ClaimRun(plan=plan)
            trial.run(minutes=float(self.option('minutes')))
            self.line(json.dumps(trial.report()))
        return 0


def main() -> None:
    """Run the command line."""
    application = Application('claim_runs')
    application.add(RunCommand())
    application.run()


if __name__ == '__main__':
    main()

"""A simulated fleet with callers that repeat crashing requests.

Its hosts gossip reports of requests that may have crashed targets.
"""

import dataclasses
import random
from collections.abc import Callable

from chicorybridge.common.identities import Digest, HostId, ServiceId
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.quarantine.crash_reports import CrashReport
from chicorybridge.quarantine.gossip import QuarantineGossip
from chicorybridge.tools.models.entry_models import Call
from chicorybridge.tools.models.fleet_models import FleetModel, Load, Policy
from chicorybridge.tools.simulations.channels import FaultyChannel

# Hosts and targets have clocks of their own, advanced in turn by this.
STEP_MS = 1
# Median time that a crashing request runs before its target crashes.
CRASHING_WORK_MS = 20
# Bounds of the delay before a caller repeats a request.
REPEAT_DELAY_MS = (10.0, 60.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashPlan:
    """Parameters of a run: load, requests that crash targets, and faults.

    `repeats` is how often a caller repeats a crashing request that was not
    answered; `cut_links` the share of one-way links between hosts that
    lose all messages; `idempotent` applies to the crashing requests;
    `crashing` is the number of these; `dying_targets` is how many targets
    crash without one.
    """

    hosts: int = 40
    per_second: float = 1000
    repeats: int = 30
    cut_links: float = 0
    idempotent: bool = True
    crashing: int = 1
    dying_targets: int = 0
    for_ms: float = 8000
    warm_up_ms: float = 1000


class CrashModel:
    """Run the fleet of a plan; its hosts gossip reports of crashes."""

    def __init__(
        self, declaration: Declaration, plan: CrashPlan, *, seed: int
    ) -> None:
        """Start all hosts and cut random links between them."""
        self._plan = plan
        self.channel = FaultyChannel(seed=seed)
        self.channel.delay_ms = (0.5, 12)
        self.fleet = FleetModel(
            declaration,
            entries=plan.hosts,
            policy=Policy.chicorybridge,
            seed=seed,
        )
        self._rng = random.Random(seed)
        self._service_id = next(iter(declaration.services_by_id))
        self._hosts = [HostId(f'host-{number}') for number in range(plan.hosts)]
        for number, host_id in enumerate(self._hosts):
            self._add_host(number, host_id)
        self._cut_links()

    def run(self) -> None:
        """Run the whole plan: warm-up, then crashing requests and faults."""
        plan = self._plan
        load = Load(per_second=plan.per_second)
        self._start_load(load)
        self._advance(plan.warm_up_ms)
        for number in range(plan.crashing):
            self._send_crashing(Digest(f'crashing-{number}'), plan.repeats)
        for _ in range(plan.dying_targets):
            self._crash_random_target()
        self._advance(plan.for_ms)

    @property
    def crashes(self) -> int:
        """Return the number of crashes of targets."""
        models = self.fleet.models_by_target.values()
        return sum(model.crashes for model in models)

    @property
    def refused_wrongly(self) -> int:
        """Return how many harmless calls were refused by quarantine."""
        return sum(
            call.quarantined and not call.crashes for call in self.fleet.calls
        )

    def _add_host(self, number: int, host_id: HostId) -> None:
        self.channel.add(
            host_id,
            QuarantineGossip(
                host_id=host_id,
                peers=lambda: self._hosts,
                rng=random.Random(number),
            ),
        )
        self.fleet.entries[number].report_crash = self._report_sender(host_id)

    def _report_sender(self, host_id: HostId) -> Callable[[CrashReport], None]:
        return lambda report: self.channel.deliver(
            host_id, report, sender=host_id
        )

    def _cut_links(self) -> None:
        pairs = [
            (sender, receiver)
            for sender in self._hosts
            for receiver in self._hosts
            if sender != receiver
        ]
        count = int(self._plan.cut_links * len(pairs))
        self.channel.cut_links.update(self._rng.sample(pairs, count))

    def _advance(self, for_ms: float) -> None:
        ends_at = self.channel.clock.now() + for_ms
        while self.channel.clock.now() < ends_at:
            self.channel.run(for_ms=STEP_MS, tick_ms=STEP_MS)
            for _, host_id, message in self.channel.entry_messages:
                entry = self.fleet.entries[self._hosts.index(host_id)]
                entry.quarantine.receive(message, now=self.channel.clock.now())
            self.channel.entry_messages.clear()
            self.fleet.schedule.run(until=self.channel.clock.now())

    def _start_load(self, load: Load) -> None:
        interarrival_ms = self._rng.expovariate(load.per_second / 1000)

        def arrive() -> None:  # noqa: WPS430
            digest = Digest(str(self._rng.random()))
            self._send(self._call(digest, load.work_ms), repeats=3)
            self._start_load(load)

        self.fleet.schedule.call_later(interarrival_ms, arrive)

    def _send_crashing(self, digest: Digest, repeats: int) -> None:
        call = self._call(digest, CRASHING_WORK_MS)
        call.crashes = True
        call.idempotent = self._plan.idempotent
        self._send(call, repeats=repeats)

    def _crash_random_target(self) -> None:
        delay = self._rng.uniform(0, self._plan.for_ms / 2)
        model = self._rng.choice(list(self.fleet.models_by_target.values()))
        self.fleet.schedule.call_later(delay, model.crash)

    def _call(self, digest: Digest, work_ms: float) -> Call:
        return Call(
            service_id=ServiceId(self._service_id),
            work_ms=work_ms,
            started_at=self.fleet.schedule.now,
            digest=digest,
        )

    def _send(self, call: Call, *, repeats: int) -> None:
        entry = self._rng.choice(self.fleet.entries)
        entry.serve(
            call, lambda ended_call: self._handle_end(ended_call, repeats)
        )

    def _handle_end(self, call: Call, repeats: int) -> None:
        self.fleet.calls.append(call)
        if call.outcome is RequestOutcome.complete or repeats <= 0:
            return
        repeat = self._call(call.digest, call.work_ms)
        repeat.crashes = call.crashes
        repeat.idempotent = call.idempotent
        self.fleet.schedule.call_later(
            self._rng.uniform(*REPEAT_DELAY_MS),
            lambda: self._repeat(repeat, repeats - 1),
        )

    def _repeat(self, call: Call, repeats: int) -> None:
        call.started_at = self.fleet.schedule.now
        self._send(call, repeats=repeats)

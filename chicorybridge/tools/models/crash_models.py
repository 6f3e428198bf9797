"""A fleet whose hosts tell each other of requests that crash targets."""

import dataclasses
import random
from collections.abc import Callable

from chicorybridge.common.identities import Digest, HostId, ServiceId
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.routing.quarantines import CrashReport, QuarantineGossip
from chicorybridge.tools.models.entry_models import Call
from chicorybridge.tools.models.fleet_models import FleetModel, Load, Policy
from chicorybridge.tools.simulations.channels import FaultyChannel

# How far the hosts and the targets run before they meet again.
STEP_MS = 1
# Time that a crashing request runs before its target dies.
CRASHING_MS = 20
# How long a caller waits before it sends a request again.
REPEAT_MS = (10.0, 60.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashPlan:
    """A run: load beside the request that crashes targets, and faults.

    `repeats` is how often each caller sends a request whose outcome is
    unknown again; `cut_links` the share of one-way links between hosts
    that carry nothing; `idempotent` concerns the crashing request.
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
    """Callers that repeat, entries, targets, and control systems."""

    def __init__(
        self, declaration: Declaration, plan: CrashPlan, *, seed: int
    ) -> None:
        """Start all hosts."""
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
        """Run to the end of the plan."""
        plan = self._plan
        load = Load(per_second=plan.per_second)
        self._offer(load)
        self._advance(plan.warm_up_ms)
        for number in range(plan.crashing):
            self._send_crashing(Digest(f'crashing-{number}'), plan.repeats)
        for _ in range(plan.dying_targets):
            self._kill_one()
        self._advance(plan.for_ms)

    @property
    def crashes(self) -> int:
        """Return how many targets died."""
        models = self.fleet.models_by_target.values()
        return sum(model.crashes for model in models)

    @property
    def refused_wrongly(self) -> int:
        """Return how many calls other than crashing ones were refused."""
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
        self.fleet.entries[number].post = self._poster(host_id)

    def _poster(self, host_id: HostId) -> Callable[[CrashReport], None]:
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

    def _offer(self, load: Load) -> None:
        gap = self._rng.expovariate(load.per_second / 1000)

        def arrive() -> None:  # noqa: WPS430
            digest = Digest(str(self._rng.random()))
            self._send(self._call(digest, load.work_ms), repeats=3)
            self._offer(load)

        self.fleet.schedule.later(gap, arrive)

    def _send_crashing(self, digest: Digest, repeats: int) -> None:
        call = self._call(digest, CRASHING_MS)
        call.crashes = True
        call.idempotent = self._plan.idempotent
        self._send(call, repeats=repeats)

    def _kill_one(self) -> None:
        delay = self._rng.uniform(0, self._plan.for_ms / 2)
        model = self._rng.choice(list(self.fleet.models_by_target.values()))
        self.fleet.schedule.later(delay, model.crash)

    def _call(self, digest: Digest, work_ms: float) -> Call:
        return Call(
            service_id=ServiceId(self._service_id),
            work_ms=work_ms,
            started_at=self.fleet.schedule.now,
            digest=digest,
        )

    def _send(self, call: Call, *, repeats: int) -> None:
        entry = self._rng.choice(self.fleet.entries)
        entry.serve(call, lambda ended: self._ended(ended, repeats))

    def _ended(self, call: Call, repeats: int) -> None:
        self.fleet.calls.append(call)
        if call.outcome is RequestOutcome.complete or repeats <= 0:
            return
        again = self._call(call.digest, call.work_ms)
        again.crashes = call.crashes
        again.idempotent = call.idempotent
        self.fleet.schedule.later(
            self._rng.uniform(*REPEAT_MS),
            lambda: self._repeat(again, repeats - 1),
        )

    def _repeat(self, call: Call, repeats: int) -> None:
        call.started_at = self.fleet.schedule.now
        self._send(call, repeats=repeats)

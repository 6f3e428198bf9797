"""A fleet whose hosts ask each other for permits in memory."""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Generator
from types import MappingProxyType
from typing import Any

from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    WorkspaceId,
    ZoneId,
)
from chicorybridge.fleet.host_tables import FleetMember, HostTable
from chicorybridge.quotas.askers import Asker, Inquiry, Question
from chicorybridge.quotas.granters import Granter
from chicorybridge.quotas.keys import CallerWorkspace
from chicorybridge.quotas.limits import QuotaBounds
from chicorybridge.quotas.members import Members
from chicorybridge.quotas.messages import PermitReply, PermitRequest

REGIONS = MappingProxyType(
    {
        ZoneId('z-0'): RegionId('noord'),
        ZoneId('z-1'): RegionId('noord'),
        ZoneId('z-2'): RegionId('zuid'),
        ZoneId('z-3'): RegionId('zuid'),
    }
)
BOUNDS = QuotaBounds(window_ms=5000, overage=0.1, slack=20)
# When it is due, a number that orders equal ones, and what is done.
Event = tuple[float, int, Callable[[], Any]]
TICK_MS = 50
HEARTBEAT_MS = 1000
LOST_AFTER_MS = 3500
LOST_SPREAD_MS = 300
MAX_WAIT_MS = 100
# One way, within a zone, to another zone and to another region.
DELAYS_MS = (0.1, 1.4, 12)


@dataclasses.dataclass(kw_only=True)
class Host:
    """One host; a frozen one handles its messages when it continues."""

    host_id: HostId
    zone_id: ZoneId
    incarnation: Incarnation = Incarnation(1)
    is_serving: bool = True
    is_off: bool = False
    frozen_until: float = 0
    table: HostTable
    members: Members
    asker: Asker
    granter: Granter

    @property
    def profile(self) -> FleetMember:
        """Return the profile as the host announces it."""
        return FleetMember(
            host_id=self.host_id,
            zone_id=self.zone_id,
            incarnation=self.incarnation,
            serial=0 if self.is_serving else 1,
            front='10.0.0.1:1',
            fleet_address='10.0.0.1:2',
            serving=self.is_serving,
        )


class Fleet:
    """Hosts in the zones of `REGIONS`, and the requests of workspaces."""

    def __init__(
        self,
        hosts: int,
        *workspaces: CallerWorkspace,
        is_first_start: bool = True,
        regions_by_zone: Any = REGIONS,
    ) -> None:
        """Start `hosts` hosts that know each other."""
        self.clock = ManualClock(start=100_000)
        self.rng = random.Random(hosts)
        self.workspaces_by_id = {
            workspace.workspace_id: workspace for workspace in workspaces
        }
        # When requests were sent and run, by workspace, and the refused ones.
        self.run_at: dict[str, list[float]] = {}
        self.refused_at: dict[str, list[float]] = {}
        self.unanswered = 0
        self.datagrams = 0
        self._events: list[Event] = []
        self._serials = itertools.count(1)
        self._cut: set[tuple[HostId, HostId]] = set()
        self._regions_by_zone = regions_by_zone
        zone_ids = itertools.cycle(regions_by_zone)
        self.hosts = [
            self.build(number, next(zone_ids), is_first_start=is_first_start)
            for number in range(hosts)
        ]
        self.by_id = {host.host_id: host for host in self.hosts}
        for host in self.hosts:
            self.introduce(host)
        self._every(TICK_MS, self._tick)
        self._every(HEARTBEAT_MS, self._heartbeat)

    def build(
        self, number: int, zone_id: ZoneId, *, is_first_start: bool = False
    ) -> Host:
        """Return a host that nobody knows yet."""
        host_id = HostId(f'edge-{number}')
        table = HostTable(
            host_id=host_id,
            zone_id=zone_id,
            regions_by_zone=self._regions_by_zone,
        )
        host: Host
        members = Members(host_table=table, is_serving=lambda: host.is_serving)
        host = Host(
            host_id=host_id,
            zone_id=zone_id,
            table=table,
            members=members,
            asker=Asker(members=members),
            granter=Granter(
                members=members,
                find_workspace=self.workspaces_by_id.get,
                zones=len(self._regions_by_zone),
                is_first_start=is_first_start,
                now=self.clock.now(),
            ),
        )
        host.granter.bounds = BOUNDS
        return host

    def introduce(self, host: Host) -> None:
        """Make a host and all others know each other."""
        now = self.clock.now()
        for other in self.hosts:
            if other is not host and not other.is_off:
                host.table.record(other.profile, now=now)
                other.table.record(host.profile, now=now)

    def restart(self, host: Host) -> Host:
        """Replace a host by a new process of it."""
        started = self.build(self.hosts.index(host), host.zone_id)
        started.incarnation = Incarnation(host.incarnation + 1)
        self.hosts[self.hosts.index(host)] = started
        self.by_id[host.host_id] = started
        self.introduce(started)
        return started

    def granter_of(self, workspace_id: WorkspaceId, zone_id: ZoneId) -> Host:
        """Return the granter of a workspace as its zone sees it."""
        any_host = next(
            host
            for host in self.hosts
            if host.zone_id == zone_id and not host.is_off
        )
        granter_id = any_host.members.own_granter(
            workspace_id, now=self.clock.now()
        )
        return self.by_id[granter_id]

    def part(self, some: list[Host], others: list[Host]) -> None:
        """Lose all datagrams between two groups of hosts."""
        for one, other in itertools.product(some, others):
            self._cut.add((one.host_id, other.host_id))
            self._cut.add((other.host_id, one.host_id))
            self._lose_later(one, other)
            self._lose_later(other, one)

    def heal(self) -> None:
        """End all cuts."""
        self._cut.clear()

    def switch_off(self, host: Host) -> None:
        """Let a host crash."""
        host.is_off = True
        self.part([host], [other for other in self.hosts if other is not host])

    def offer(
        self,
        workspace: CallerWorkspace,
        *,
        per_s: float,
        ms: float,
        hosts: list[Host] | None = None,
    ) -> None:
        """Send requests at random times to random hosts from now on."""
        at_ms = self.rng.expovariate(per_s) * 1000
        while at_ms < ms:
            self.at(at_ms, functools.partial(self._arrive, workspace, hosts))
            at_ms += self.rng.expovariate(per_s) * 1000

    def at(self, delay_ms: float, action: Callable[[], Any]) -> None:
        """Do something later."""
        event = (self.clock.now() + delay_ms, next(self._serials), action)
        heapq.heappush(self._events, event)

    def run(self, *, ms: float) -> None:
        """Let time pass."""
        ends_at = self.clock.now() + ms
        while self._events[0][0] <= ends_at:
            due_at, _, action = heapq.heappop(self._events)
            self.clock.advance(by_ms=max(0, due_at - self.clock.now()))
            action()
        self.clock.advance(by_ms=ends_at - self.clock.now())

    def excess(self, workspace: CallerWorkspace) -> float:
        """Return by how much any window exceeds the bound, if positive."""
        times = self.run_at.get(workspace.workspace_id, [])
        bound = BOUNDS.most_requests(workspace)
        most = 0
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - BOUNDS.window_ms:
                first += 1
            most = max(most, last - first + 1)
        return most - bound

    def refused_share(self, workspace: CallerWorkspace) -> float:
        """Return the share of the requests that got no permit."""
        refused = len(self.refused_at.get(workspace.workspace_id, []))
        run = len(self.run_at.get(workspace.workspace_id, []))
        return refused / max(1, refused + run)

    def _every(self, interval_ms: float, action: Callable[[], None]) -> None:
        def repeat() -> None:  # noqa: WPS430
            action()
            self.at(interval_ms, repeat)

        self.at(0, repeat)

    def _is_up(self, host: Host) -> bool:
        return not host.is_off and self.clock.now() >= host.frozen_until

    def _tick(self) -> None:
        now = self.clock.now()
        for host in filter(self._is_up, self.hosts):
            for host_id, handover in host.granter.tick(now=now):
                receiver = self.by_id[host_id]
                if self._arrives(host, receiver):
                    receiver.granter.receive_levels(handover, now=now)
            host.asker.forget_old(now=now)

    def _heartbeat(self) -> None:
        now = self.clock.now()
        for host in filter(self._is_up, self.hosts):
            for other in self.hosts:
                in_zone = other.zone_id == host.zone_id
                if in_zone and self._arrives(other, host):
                    host.table.record(other.profile, now=now)

    def _arrives(self, sender: Host, receiver: Host) -> bool:
        if sender is receiver or not self._is_up(sender) or receiver.is_off:
            return False
        return (sender.host_id, receiver.host_id) not in self._cut

    def _lose_later(self, host: Host, lost: Host) -> None:
        delay_ms = LOST_AFTER_MS + self.rng.uniform(0, LOST_SPREAD_MS)
        self.at(delay_ms, functools.partial(self._lose, host, lost))

    def _lose(self, host: Host, lost: Host) -> None:
        if (lost.host_id, host.host_id) in self._cut:
            host.table.drop(
                lost.host_id, lost.incarnation, silent_since=self.clock.now()
            )

    def _arrive(
        self, workspace: CallerWorkspace, hosts: list[Host] | None
    ) -> None:
        up = [host for host in hosts or self.hosts if self._is_up(host)]
        host = self.rng.choice([host for host in up if host.is_serving])
        self._continue(host, self._request(host, workspace), None)

    def _continue(
        self,
        host: Host,
        steps: Generator[Any, Any, None],
        sent: PermitReply | None,
    ) -> None:
        """Run the steps of a request until it waits for something."""
        try:
            step = steps.send(sent)
        except StopIteration:
            return
        if isinstance(step, tuple):
            self._ask(host, steps, *step)
        else:
            self.at(step, lambda: self._continue(host, steps, None))

    def _ask(
        self,
        host: Host,
        steps: Generator[Any, Any, None],
        question: Question,
        workspace_id: WorkspaceId,
    ) -> None:
        request = PermitRequest(
            number=next(self._serials),
            workspace_id=workspace_id,
        )
        granter = self.by_id[question.granter_id]
        if granter is host:
            reply = granter.granter.reply(
                request, sender=host.host_id, now=self.clock.now()
            )
            self._continue(host, steps, reply)
            return
        self.datagrams += 2
        distance = int(granter.zone_id != host.zone_id)
        distance += distance and int(host.members.is_far(granter.zone_id))
        delay_ms = DELAYS_MS[distance]
        frozen_ms = max(0, granter.frozen_until - self.clock.now())

        def arrive() -> None:  # noqa: WPS430
            reply = granter.granter.reply(
                request, sender=host.host_id, now=self.clock.now()
            )
            if frozen_ms + 2 * delay_ms < question.timeout_ms:
                self.at(delay_ms, lambda: self._continue(host, steps, reply))

        is_reached = self._arrives(host, granter)
        if is_reached:
            self.at(max(delay_ms, frozen_ms), arrive)
        if not is_reached or frozen_ms + 2 * delay_ms >= question.timeout_ms:
            self.at(
                question.timeout_ms, lambda: self._continue(host, steps, None)
            )

    def _request(
        self, host: Host, workspace: CallerWorkspace
    ) -> Generator[Any, Any, None]:
        """Do as `Permits.acquire` does."""
        workspace_id = workspace.workspace_id
        started_at = self.clock.now()
        inquiry = Inquiry(asker=host.asker, workspace_id=workspace_id)
        while True:
            now = self.clock.now()
            question = inquiry.next_question(now=now)
            if question is not None:
                reply = yield question, workspace_id
                now = self.clock.now()
                if inquiry.record_reply(question, reply, now=now):
                    self.run_at.setdefault(workspace_id, []).append(now)
                    return
                continue
            pause_ms = inquiry.pause_ms(now=now)
            is_late = now + pause_ms > started_at + MAX_WAIT_MS
            if is_late or not inquiry.has_reply:
                self.unanswered += not inquiry.has_reply
                self.refused_at.setdefault(workspace_id, []).append(now)
                return
            yield pause_ms
            inquiry.ask_again()


def workspace_of(
    name: str = 'acme', *, rate_per_s: float = 100, burst: float = 50
) -> CallerWorkspace:
    """Return a limited workspace."""
    return CallerWorkspace(
        workspace_id=WorkspaceId(name), rate_per_s=rate_per_s, burst=burst
    )

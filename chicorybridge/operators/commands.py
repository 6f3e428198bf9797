"""The binary chicorybridge: what operators do, from the command line."""

import pathlib
from collections import Counter

from cleo.application import Application

from chicorybridge.common.binaries import VERSION
from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.codecs import unpack
from chicorybridge.common.identities import Version
from chicorybridge.common.meters import merge_histograms, summarise
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.plans import Change, compare
from chicorybridge.configuration.sections import read_declaration
from chicorybridge.configuration.versions import (
    CurrentDeclaration,
    CurrentRequested,
    FleetStatus,
    HostStatus,
    StatusRequested,
)
from chicorybridge.control.operator_messages import (
    HostsRequested,
    MetricsRequested,
    TimelineRequested,
)
from chicorybridge.entry.entry_messages import MetricsReport
from chicorybridge.fleet.drains import DrainRequested
from chicorybridge.operators.apply_commands import ApplyCommand
from chicorybridge.operators.explain_commands import ExplainCommand
from chicorybridge.operators.operator_commands import (
    EXIT_DONE,
    EXIT_WAITING,
    PATH,
    CommandBase,
    FleetCommand,
)


class CheckCommand(CommandBase):
    """Check a declaration without applying it."""

    name = 'check'
    description = 'Check a declaration and name every problem'
    arguments = [PATH]

    async def act(self) -> int:
        """Read the declaration; problems end in a coded error."""
        declaration = read_declaration(pathlib.Path(self.argument('path')))
        self.show(
            {
                'name': declaration.name,
                'digest': declaration.digest,
                'services': len(declaration.services_by_id),
                'targets': len(declaration.targets_by_id),
                'routes': len(declaration.routes_by_id),
                'workspaces': len(declaration.workspaces_by_id),
            }
        )
        return EXIT_DONE


class PlanCommand(FleetCommand):
    """Show what an apply would change, and the version it starts from."""

    name = 'plan'
    description = 'Show what applying a declaration would change'
    arguments = [PATH]

    async def act(self) -> int:
        """Compare the declaration with the one in force."""
        declaration = read_declaration(pathlib.Path(self.argument('path')))
        async with self.connect() as client:
            current = await client.ask(CurrentRequested())
        changes = compare(_declaration_of(current), declaration)
        if self.option('json'):
            self.show(
                {
                    'base': current.version,
                    'digest': declaration.digest,
                    'changes': [str(change) for change in changes],
                }
            )
            return EXIT_DONE
        self._show_lines(current.version, changes)
        return EXIT_DONE

    def _show_lines(self, base: Version, changes: list[Change]) -> None:
        self.line(f'against version {base}: {len(changes)} changes')
        for change in changes:
            self.line(str(change))


class StatusCommand(FleetCommand):
    """Show every host's version, its age and why it lags."""

    name = 'status'
    description = 'Show the version that governs each host'

    async def act(self) -> int:
        """Ask one host, which asks the others."""
        async with self.connect() as client:
            status: FleetStatus = await client.ask(StatusRequested())
        head = status.head
        self.show(
            {
                'version': head.version if head else 0,
                'digest': head.digest if head else '',
                'accepted': status.accepted,
                'hosts': [_host_row(host) for host in status.hosts],
            }
        )
        return EXIT_DONE if status.accepted else EXIT_WAITING


class TimelineCommand(FleetCommand):
    """Merge the events of all processes into one time line."""

    name = 'timeline'
    description = 'Show the events of all processes, causes first'

    async def act(self) -> int:
        """Collect the events of every known host and order them."""
        records: list[dict] = []
        for answer in await self.ask_all(TimelineRequested()):
            records.extend(answer.records)
        records.sort(
            key=lambda record: (record['logical_time'], record['at_ms'])
        )
        for record in records:
            self.show_record(record)
        return EXIT_DONE


class MetricsCommand(FleetCommand):
    """Add the metrics of all hosts up."""

    name = 'metrics'
    description = 'Show counts and latencies of the whole fleet'

    async def act(self) -> int:
        """Merge counts and histograms."""
        answers = await self.ask_all(MetricsRequested())
        reports = [report for answer in answers for report in answer.reports]
        self.show(
            {
                'counts': _sum_counts(reports),
                'latencies': _sum_histograms(reports),
            }
        )
        return EXIT_DONE


class DrainCommand(FleetCommand):
    """Begin the planned stop of a host."""

    name = 'drain'
    description = 'Begin the planned stop of the host of --control'

    async def act(self) -> int:
        """Send the order and show that it was taken."""
        async with self.connect() as client:
            advanced = await client.ask(DrainRequested())
        self.show({'host': advanced.host_id, 'was': advanced.state.value})
        return EXIT_DONE


class HostsCommand(FleetCommand):
    """Show the hosts that one host knows."""

    name = 'hosts'
    description = 'Show the hosts of the fleet as one host knows them'

    async def act(self) -> int:
        """Ask one host."""
        async with self.connect() as client:
            known = await client.ask(HostsRequested())
        self.show(
            {
                'version': known.version,
                'hosts': [
                    {
                        'host': host.host_id,
                        'zone': host.zone_id,
                        'control': host.address,
                        'entries': list(host.entries),
                        'taking': host.taking,
                        'leaving': host.leaving,
                    }
                    for host in known.hosts
                ],
            }
        )
        return EXIT_DONE


def main() -> int:
    """Run the binary and return its exit status."""
    application = Application('chicorybridge', VERSION)
    application.add(CheckCommand())
    application.add(PlanCommand())
    application.add(ApplyCommand())
    application.add(StatusCommand())
    application.add(HostsCommand())
    application.add(TimelineCommand())
    application.add(MetricsCommand())
    application.add(DrainCommand())
    application.add(ExplainCommand())
    return application.run()


def _declaration_of(current: CurrentDeclaration) -> Declaration | None:
    return unpack(current.body) if current.body else None


def _host_row(host: HostStatus) -> dict:
    return {
        'host': host.host_id,
        'version': host.version,
        'confirmed': host.confirmed,
        'age_s': round(host.age_ms / MILLIS_PER_SECOND, 1),
        'state': host.reason.value,
    }


def _sum_counts(reports: list[MetricsReport]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for report in reports:
        total.update(report.counts_by_name)
    return dict(total)


def _sum_histograms(
    reports: list[MetricsReport],
) -> dict[str, dict[str, float]]:
    encoded_by_name: dict[str, list[bytes]] = {}
    for report in reports:
        for name, body in report.histograms_by_name.items():
            encoded_by_name.setdefault(name, []).append(body)
    return {
        each: summarise(merge_histograms(encoded))
        for each, encoded in encoded_by_name.items()
    }

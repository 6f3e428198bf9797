"""The binary chicorybridge, the command line of operators."""

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
    EXIT_PENDING,
    EXIT_SUCCESS,
    PATH_ARGUMENT,
    CommandBase,
    FleetCommand,
)


class CheckCommand(CommandBase):
    """Check a declaration without applying it."""

    name = 'check'
    description = 'Check a declaration and list every problem'
    arguments = [PATH_ARGUMENT]

    async def handle_async(self) -> int:
        """Print a summary of the declaration; raise an error if invalid."""
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
        return EXIT_SUCCESS


class PlanCommand(FleetCommand):
    """Show what an apply would change, and the version it is based on."""

    name = 'plan'
    description = 'Show what applying a declaration would change'
    arguments = [PATH_ARGUMENT]

    async def handle_async(self) -> int:
        """Print the differences from the current declaration."""
        declaration = read_declaration(pathlib.Path(self.argument('path')))
        async with self.connect() as client:
            current = await client.request(CurrentRequested())
        changes = compare(_decode_current(current), declaration)
        if self.option('json'):
            self.show(
                {
                    'base': current.version,
                    'digest': declaration.digest,
                    'changes': [str(change) for change in changes],
                }
            )
            return EXIT_SUCCESS
        self._show_lines(current.version, changes)
        return EXIT_SUCCESS

    def _show_lines(self, base: Version, changes: list[Change]) -> None:
        self.line(f'compared with version {base}: {len(changes)} changes')
        for change in changes:
            self.line(str(change))


class StatusCommand(FleetCommand):
    """Show the version, last sign of life and state of every host."""

    name = 'status'
    description = 'Show the active version of each host'

    async def handle_async(self) -> int:
        """Request the status of the fleet from one host, which collects it.

        Return `EXIT_PENDING` if the newest version is not accepted yet.
        """
        async with self.connect() as client:
            status: FleetStatus = await client.request(StatusRequested())
        head = status.head
        self.show(
            {
                'version': head.version if head else 0,
                'digest': head.digest if head else '',
                'accepted': status.accepted,
                'hosts': [_host_row(host) for host in status.hosts],
            }
        )
        return EXIT_SUCCESS if status.accepted else EXIT_PENDING


class TimelineCommand(FleetCommand):
    """Merge the recent events of all processes into one timeline."""

    name = 'timeline'
    description = 'Show recent events of all processes in logical order'

    async def handle_async(self) -> int:
        """Print the events of all hosts, ordered by logical time."""
        records: list[dict] = []
        for answer in await self.request_from_all(TimelineRequested()):
            records.extend(answer.records)
        records.sort(
            key=lambda record: (record['logical_time'], record['at_ms'])
        )
        for record in records:
            self.show_record(record)
        return EXIT_SUCCESS


class MetricsCommand(FleetCommand):
    """Show the metrics of all hosts, summed over the fleet."""

    name = 'metrics'
    description = 'Show counters and latencies of the whole fleet'

    async def handle_async(self) -> int:
        """Print the summed counters and the merged latency histograms."""
        answers = await self.request_from_all(MetricsRequested())
        reports = [report for answer in answers for report in answer.reports]
        self.show(
            {
                'counts': _sum_counts(reports),
                'latencies': _sum_histograms(reports),
            }
        )
        return EXIT_SUCCESS


class DrainCommand(FleetCommand):
    """Start the graceful shutdown of a host."""

    name = 'drain'
    description = 'Start the graceful shutdown of the --control host'

    async def handle_async(self) -> int:
        """Send the request and print the drain state that the host reports."""
        async with self.connect() as client:
            reply = await client.request(DrainRequested())
        self.show({'host': reply.host_id, 'was': reply.state.value})
        return EXIT_SUCCESS


class HostsCommand(FleetCommand):
    """Show the live hosts, in the view of one host."""

    name = 'hosts'
    description = 'Show the live hosts of the fleet as one host sees them'

    async def handle_async(self) -> int:
        """Print the hosts, their addresses and states."""
        async with self.connect() as client:
            host_list = await client.request(HostsRequested())
        self.show(
            {
                'version': host_list.version,
                'hosts': [
                    {
                        'host': host.host_id,
                        'zone': host.zone_id,
                        'control': host.address,
                        'entries': list(host.entries),
                        'taking': host.taking,
                        'leaving': host.leaving,
                    }
                    for host in host_list.hosts
                ],
            }
        )
        return EXIT_SUCCESS


def main() -> int:
    """Run the command line and return its exit status."""
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


def _decode_current(current: CurrentDeclaration) -> Declaration | None:
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
        metric: summarise(merge_histograms(encoded))
        for metric, encoded in encoded_by_name.items()
    }

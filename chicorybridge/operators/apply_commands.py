"""Command that applies a declaration and waits for all hosts."""

import pathlib
import secrets
from collections.abc import Mapping
from types import MappingProxyType

from cleo.helpers import option

from chicorybridge import settings
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import ApplyId, HostId, Version
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.sections import read_declaration
from chicorybridge.configuration.versions import (
    ApplyProgress,
    ApplyRequested,
    ApplyStage,
    ApplyWatched,
    CurrentRequested,
    HostStatus,
)
from chicorybridge.operators.operator_clients import ControlClient
from chicorybridge.operators.operator_commands import (
    EXIT_PENDING,
    EXIT_REFUSED,
    EXIT_SUCCESS,
    PATH_ARGUMENT,
    FleetCommand,
)

APPLY_ID_BYTES = 8
ERROR_CODES_BY_STAGE: Mapping[ApplyStage, ErrorCode] = MappingProxyType(
    {
        ApplyStage.conflict: ErrorCode.apply_conflict,
        ApplyStage.rejected: ErrorCode.apply_rejected,
    }
)
FINAL_STAGES = frozenset((ApplyStage.accepted, *ERROR_CODES_BY_STAGE))


class ApplyCommand(FleetCommand):
    """Apply a declaration and wait until every host has confirmed it.

    Hosts that count as excused are not waited for.
    """

    name = 'apply'
    description = 'Apply a complete declaration and wait for all hosts'
    arguments = [PATH_ARGUMENT]
    options = [
        *FleetCommand.options,
        option('base', None, 'Version that the plan is based on', flag=False),
        option(
            'apply-id', None, 'Id of an earlier apply to continue', flag=False
        ),
        option(
            'excuse',
            None,
            'Host not to wait for; it must have stopped serving',
            flag=False,
            multiple=True,
        ),
        option('wait-ms', None, 'Maximum wait in milliseconds', flag=False),
    ]

    async def handle_async(self) -> int:
        """Send the declaration and print progress; return the exit status."""
        declaration = read_declaration(pathlib.Path(self.argument('path')))
        async with self.connect() as client:
            request = await self._build_request(client, declaration)
            self.line_error(f'apply {request.apply_id}')
            await client.send(request)
            progress = await self._wait_for_result(client, request.apply_id)
        return self._show_result(progress)

    async def _build_request(
        self, client: ControlClient, declaration: Declaration
    ) -> ApplyRequested:
        base = self.option('base')
        if base is None:
            current = await client.request(CurrentRequested())
            base = current.version
        new_id = secrets.token_hex(APPLY_ID_BYTES)
        excused = tuple(HostId(host) for host in self.option('excuse'))
        return ApplyRequested(
            apply_id=ApplyId(self.option('apply-id') or new_id),
            base=Version(int(base)),
            body=declaration.body,
            excused=excused,
        )

    async def _wait_for_result(
        self, client: ControlClient, apply_id: ApplyId
    ) -> ApplyProgress | None:
        wait_ms = float(self.option('wait-ms') or settings.APPLY_TIMEOUT_MS)
        deadline = self.clock.now() + wait_ms
        next_watch_at = self.clock.now() + settings.WATCH_INTERVAL_MS
        progress = None
        while self.clock.now() < deadline:
            message = await client.receive(within_ms=settings.WATCH_INTERVAL_MS)
            if isinstance(message, ApplyProgress):
                progress = message
                self.line_error(describe_progress(progress))
                if progress.stage in FINAL_STAGES:
                    return progress
            if self.clock.now() >= next_watch_at:
                # A host drops an apply that is not durable yet if it receives
                # no `ApplyWatched` for UNWATCHED_APPLY_TTL_MS.
                await client.send(ApplyWatched(apply_id=apply_id))
                next_watch_at = self.clock.now() + settings.WATCH_INTERVAL_MS
        return progress

    def _show_result(self, progress: ApplyProgress | None) -> int:
        if progress is None:
            self.line_error('no host answered in time; repeat with --apply-id')
            return EXIT_PENDING
        self.show(
            {
                'apply_id': progress.apply_id,
                'stage': progress.stage.value,
                'version': progress.version,
                'digest': progress.digest,
                'waiting': [host.host_id for host in progress.waiting],
                'detail': progress.detail,
            }
        )
        if progress.stage is ApplyStage.accepted:
            return EXIT_SUCCESS
        code = ERROR_CODES_BY_STAGE.get(progress.stage)
        if code is not None:
            self.line_error(f'{code}: nothing was written')
            return EXIT_REFUSED
        return EXIT_PENDING


def describe_progress(progress: ApplyProgress) -> str:
    """Return a one-line description of the progress of an apply."""
    stage = progress.stage.value
    parts = [f'version {progress.version}', stage]
    if progress.store_unavailable:
        parts.append('the platform is unavailable')
    if progress.waiting:
        waiting = ', '.join(map(_describe_host, progress.waiting))
        parts.append(f'waiting for {waiting}')
    if progress.winner is not None:
        first_version = progress.winner.version
        parts.append(f'version {first_version} was written first')
    if progress.detail:
        parts.append(progress.detail)
    return '; '.join(parts)


def _describe_host(host: HostStatus) -> str:
    reason = host.reason.value
    return f'{host.host_id} ({reason})'

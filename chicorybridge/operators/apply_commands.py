"""The command that applies a declaration and waits for all hosts."""

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
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_WAITING,
    PATH,
    FleetCommand,
)

APPLY_ID_BYTES = 8
CODES_BY_STAGE: Mapping[ApplyStage, ErrorCode] = MappingProxyType(
    {
        ApplyStage.conflict: ErrorCode.apply_conflict,
        ApplyStage.rejected: ErrorCode.apply_rejected,
    }
)
ENDED_STAGES = frozenset((ApplyStage.accepted, *CODES_BY_STAGE))


class ApplyCommand(FleetCommand):
    """Apply a declaration and wait until it governs every host."""

    name = 'apply'
    description = 'Apply a declaration as a whole and wait for all hosts'
    arguments = [PATH]
    options = [
        *FleetCommand.options,
        option('base', None, 'Version that was planned against', flag=False),
        option('apply-id', None, 'Go on with an earlier apply', flag=False),
        option(
            'excuse',
            None,
            'Host that surely serves no more',
            flag=False,
            multiple=True,
        ),
        option('wait-ms', None, 'How long to wait', flag=False),
    ]

    async def act(self) -> int:
        """Send the declaration, show progress, return the end."""
        declaration = read_declaration(pathlib.Path(self.argument('path')))
        async with self.connect() as client:
            request = await self._request(client, declaration)
            self.line_error(f'apply {request.apply_id}')
            await client.send(request)
            progress = await self._watch(client, request.apply_id)
        return self._conclude(progress)

    async def _request(
        self, client: ControlClient, declaration: Declaration
    ) -> ApplyRequested:
        base = self.option('base')
        if base is None:
            current = await client.ask(CurrentRequested())
            base = current.version
        fresh = secrets.token_hex(APPLY_ID_BYTES)
        excused = tuple(HostId(host) for host in self.option('excuse'))
        return ApplyRequested(
            apply_id=ApplyId(self.option('apply-id') or fresh),
            base=Version(int(base)),
            body=declaration.body,
            excused=excused,
        )

    async def _watch(
        self, client: ControlClient, apply_id: ApplyId
    ) -> ApplyProgress | None:
        wait_ms = float(self.option('wait-ms') or settings.APPLY_TIMEOUT_MS)
        deadline = self.clock.now() + wait_ms
        watch_at = self.clock.now() + settings.WATCH_INTERVAL_MS
        progress = None
        while self.clock.now() < deadline:
            message = await client.receive(within_ms=settings.WATCH_INTERVAL_MS)
            if isinstance(message, ApplyProgress):
                progress = message
                self.line_error(describe_progress(progress))
                if progress.stage in ENDED_STAGES:
                    return progress
            if self.clock.now() >= watch_at:
                # Keeps an apply going that is not durable yet.
                await client.send(ApplyWatched(apply_id=apply_id))
                watch_at = self.clock.now() + settings.WATCH_INTERVAL_MS
        return progress

    def _conclude(self, progress: ApplyProgress | None) -> int:
        if progress is None:
            self.line_error('no host has answered; repeat with --apply-id')
            return EXIT_WAITING
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
            return EXIT_DONE
        code = CODES_BY_STAGE.get(progress.stage)
        if code is not None:
            self.line_error(f'{code}: nothing was written')
            return EXIT_REFUSED
        return EXIT_WAITING


def describe_progress(progress: ApplyProgress) -> str:
    """Return one line on how far an apply has come."""
    stage = progress.stage.value
    parts = [f'version {progress.version}', stage]
    if progress.store_unavailable:
        parts.append('the platform does not answer')
    if progress.waiting:
        waiting = ', '.join(map(_describe_host, progress.waiting))
        parts.append(f'waiting for {waiting}')
    if progress.winner is not None:
        winner = progress.winner.version
        parts.append(f'version {winner} came first')
    if progress.detail:
        parts.append(progress.detail)
    return '; '.join(parts)


def _describe_host(host: HostStatus) -> str:
    reason = host.reason.value
    return f'{host.host_id} ({reason})'

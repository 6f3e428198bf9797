"""Probes of targets, sent by a control process when its systems say so."""

from collections.abc import Awaitable, Callable, Iterable

import curio

from chicorybridge import settings
from chicorybridge.common.addresses import parse_address
from chicorybridge.common.identities import TargetId
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.http.fetchers import Client
from chicorybridge.http.services import AnswerLostError, NotSentError, Request

# Statuses below this one say that a target is well.
SERVER_ERROR_STATUS = 500

Finished = Callable[[TargetId, bool], Awaitable[None]]


class Prober:
    """Probe targets, each by a task of its own."""

    def __init__(self, *, finished: Finished) -> None:
        """Tell `finished` whether a target answered whole and in time."""
        self._client = Client(answer_bytes=settings.MAX_PROBE_ANSWER_BYTES)
        self._finished = finished

    async def probe(
        self, target_ids: Iterable[TargetId], declaration: Declaration
    ) -> None:
        """Begin to probe these targets."""
        for target_id in target_ids:
            target = declaration.targets_by_id.get(target_id)
            if target is None:
                continue
            service_id = declaration.service_id_of(target)
            path = declaration.services_by_id[service_id].probe_path
            await curio.spawn(
                self._probe(target_id, target.address, path), daemon=True
            )

    async def _probe(
        self, target_id: TargetId, address: str, path: str
    ) -> None:
        try:
            response = await self._client.fetch(
                parse_address(address),
                Request(method='GET', path=path),
                timeout_ms=settings.PROBE_TIMEOUT_MS,
            )
        except (NotSentError, AnswerLostError):
            await self._finished(target_id, False)  # noqa: WPS425
            return
        is_answered = response.status < SERVER_ERROR_STATUS
        await self._finished(target_id, is_answered)

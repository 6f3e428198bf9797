"""Probe requests to targets, as scheduled by the detection system."""

from collections.abc import Awaitable, Callable, Iterable

import curio

from chicorybridge import settings
from chicorybridge.common.addresses import parse_address
from chicorybridge.common.identities import TargetId
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import AnswerLostError, NotSentError, Request

# An answer with a lower status counts as a successful probe.
SERVER_ERROR_STATUS = 500

OnResult = Callable[[TargetId, bool], Awaitable[None]]


class Prober:
    """Probe targets concurrently, each in its own task."""

    def __init__(self, *, on_result: OnResult) -> None:
        """Call `on_result` with the target and whether the probe succeeded.

        A probe succeeds if a complete answer below status 500 arrives
        within `PROBE_TIMEOUT_MS`.
        """
        self._client = Client(max_answer_bytes=settings.MAX_PROBE_ANSWER_BYTES)
        self._on_result = on_result

    async def probe(
        self, target_ids: Iterable[TargetId], declaration: Declaration
    ) -> None:
        """Start a probe of each target; skip those not in `declaration`."""
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
            await self._on_result(target_id, False)  # noqa: WPS425
            return
        succeeded = response.status < SERVER_ERROR_STATUS
        await self._on_result(target_id, succeeded)

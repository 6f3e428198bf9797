"""Requests of a control process to the platform."""

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import as_seconds
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.systems import CallStore
from chicorybridge.fleet.members import Members
from chicorybridge.storage.clients import PlatformClient
from chicorybridge.storage.stores import (
    UNAVAILABLE_OUTCOMES,
    HostState,
    ListedHost,
    StoreReply,
)


class PlatformRequester:
    """Send requests, renew the host's registration, and log outages."""

    def __init__(self, *, client: PlatformClient, log: EventLog) -> None:
        """Send requests with `client`; log outages to `log`."""
        self._client = client
        self._log = log
        self._is_unavailable = False

    async def execute(self, store_call: CallStore) -> StoreReply:
        """Send the request of `store_call` and return the reply."""
        reply = await self._client.execute(
            store_call.request, token=store_call.token
        )
        is_unavailable = reply.outcome in UNAVAILABLE_OUTCOMES
        if is_unavailable != self._is_unavailable:
            self._is_unavailable = is_unavailable
            kind = (
                EventKind.store_lost if is_unavailable else EventKind.store_back
            )
            self._log.emit(Event(kind=kind, facts={'token': store_call.token}))
        return reply

    async def register_forever(self, members: Members) -> None:
        """Renew this host in the platform's host list until cancelled."""
        while True:
            profile = members.profile
            state = HostState.leaving if profile.leaving else HostState.live
            listed = ListedHost(
                host_id=profile.host_id, address=profile.address, state=state
            )
            await self._client.register(listed)
            await curio.sleep(as_seconds(settings.REGISTER_INTERVAL_MS))

"""The requests of a control process to the platform."""

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import as_seconds
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.systems import CallStore
from chicorybridge.fleet.members import Members
from chicorybridge.storage.clients import PlatformClient
from chicorybridge.storage.stores import (
    AWAY,
    HostState,
    ListedHost,
    StoreReply,
)


class PlatformDesk:
    """Carry out requests, keep the host registered, note outages."""

    def __init__(self, *, client: PlatformClient, log: EventLog) -> None:
        """Ask through `client`."""
        self._client = client
        self._log = log
        self._is_away = False

    async def execute(self, ask: CallStore) -> StoreReply:
        """Carry out one request and return how it ended."""
        reply = await self._client.execute(ask.request, token=ask.token)
        is_away = reply.outcome in AWAY
        if is_away != self._is_away:
            self._is_away = is_away
            kind = EventKind.store_lost if is_away else EventKind.store_back
            self._log.emit(Event(kind=kind, facts={'token': ask.token}))
        return reply

    async def register_forever(self, members: Members) -> None:
        """Renew the entry of this host in the platform's list."""
        while True:
            profile = members.profile
            state = HostState.leaving if profile.leaving else HostState.live
            listed = ListedHost(
                host_id=profile.host_id, address=profile.address, state=state
            )
            await self._client.register(listed)
            await curio.sleep(as_seconds(settings.REGISTER_INTERVAL_MS))

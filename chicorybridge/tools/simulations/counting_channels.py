"""Channel that counts messages, bytes and store requests of hosts."""

from typing import Any

from chicorybridge.common.codecs import pack
from chicorybridge.common.identities import HostId
from chicorybridge.common.systems import CallStore, Effect, Send
from chicorybridge.tools.simulations.channels import FaultyChannel

# Bytes per message: number, times and digest of a frame, TCP and IP headers.
OVERHEAD_BYTES = 82


class CountingChannel(FaultyChannel):
    """Count messages between hosts and requests to the platform."""

    def __init__(self, *, seed: int) -> None:
        """Start with all counts at zero."""
        super().__init__(seed=seed)
        self.messages = 0
        self.bytes_sent = 0
        self.platform_requests = 0
        self.bytes_by_type: dict[str, int] = {}

    def execute(self, host_id: HostId, effects: Any) -> None:
        """Count the effects, then execute them."""
        effect_list: tuple[Effect, ...] = tuple(effects)
        for effect in effect_list:
            if isinstance(effect, Send) and effect.to != host_id:
                self._count(effect)
            if isinstance(effect, CallStore):
                self.platform_requests += 1
        super().execute(host_id, effect_list)

    def reset(self) -> None:
        """Set all counts to zero."""
        self.messages = 0
        self.bytes_sent = 0
        self.platform_requests = 0
        self.bytes_by_type.clear()

    def _count(self, send: Send) -> None:
        size = len(pack(send.message)) + OVERHEAD_BYTES
        name = type(send.message).__name__
        self.messages += 1
        self.bytes_sent += size
        self.bytes_by_type[name] = self.bytes_by_type.get(name, 0) + size

"""State of a host process: its phase and its configuration."""

import dataclasses
import math
from collections.abc import Callable
from enum import Enum

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import NO_VERSION, Version
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.http.caller_limits import CallerLimits


class HostPhase(Enum):
    """Phase of a host process: how it handles requests of callers."""

    serving = 'serving'
    # Answers new requests and closes each connection after the answer.
    draining = 'draining'
    # Finishes requests in flight and refuses new ones.
    closing = 'closing'


def _always() -> bool:
    return True


@dataclasses.dataclass(kw_only=True)
class HostState:
    """The phase and the active configuration of a host.

    `is_current` returns whether the configuration is as new as it should be,
    `is_usable` whether requests may be routed by it, `age_ms` how old the store
    data are that it is part of.
    `stops_at` is when a planned stop must be over. Keys of callers are refused
    when the store data are older than `max_key_age_ms`.
    """

    phase: HostPhase = HostPhase.serving
    configuration: HostConfiguration | None = None
    is_current: Callable[[], bool] = _always
    is_usable: Callable[[], bool] = _always
    age_ms: Callable[[], int | None] = lambda: None
    stops_at: Millis = Millis(math.inf)
    max_key_age_ms: float = math.inf

    @property
    def version(self) -> Version:
        """Return the version of the active configuration, 0 without one."""
        return self.configuration.version if self.configuration else NO_VERSION

    @property
    def ready(self) -> bool:
        """Return whether this host may be listed for callers."""
        return (
            self.phase is HostPhase.serving and self.configuration is not None
        )

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers of the active configuration."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def activate(self, configuration: HostConfiguration) -> None:
        """Activate a newer configuration."""
        require(
            promise='the version of the active configuration only increases',
            holds=configuration.version > self.version,
        )
        self.configuration = configuration

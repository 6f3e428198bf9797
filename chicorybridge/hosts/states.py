"""What a host process serves by: its duty and its configuration."""

import dataclasses
from enum import Enum

from chicorybridge.common.errors import require
from chicorybridge.common.identities import NO_VERSION, Version
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.http.caller_limits import CallerLimits


class HostPhase(Enum):
    """What a host does with requests of callers."""

    serving = 'serving'
    # Serves whoever still comes and closes each connection after it.
    draining = 'draining'
    # Finishes what is under way and refuses the rest.
    closing = 'closing'


@dataclasses.dataclass(kw_only=True)
class HostState:
    """The duty and the newest configuration of a host."""

    phase: HostPhase = HostPhase.serving
    configuration: HostConfiguration | None = None

    @property
    def version(self) -> Version:
        """Return the version in force, 0 without one."""
        return self.configuration.version if self.configuration else NO_VERSION

    @property
    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return (
            self.phase is HostPhase.serving and self.configuration is not None
        )

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds on callers."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def activate(self, configuration: HostConfiguration) -> None:
        """Put a newer configuration in force."""
        require(
            promise='an accepted configuration never reverts',
            holds=configuration.version > self.version,
        )
        self.configuration = configuration

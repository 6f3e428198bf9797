"""What governs the requests that come to an entry process now."""

import dataclasses
from enum import Enum

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import NO_VERSION, Version
from chicorybridge.configuration.configurations import ActiveConfiguration


class ServingMode(Enum):
    """What an entry process does with the connections of callers."""

    serving = 'serving'
    # Closes each connection after its answer.
    draining = 'draining'


@dataclasses.dataclass(kw_only=True)
class EntryState:
    """What governs the requests that come now.

    New work is taken until `lease_until`, on the clock that all processes
    of a host share; it is checked before each request, so that a process
    that was paused takes none on the strength of an old lease.
    """

    mode: ServingMode = ServingMode.serving
    lease_until: Millis = Millis(0)

    @property
    def version(self) -> Version:
        """Return the version in force, 0 without one."""
        return self.configuration.version if self.configuration else NO_VERSION

    def switch(self, configuration: ActiveConfiguration) -> None:
        """Put a newer configuration in force."""
        require(
            promise='an accepted configuration never reverts',
            holds=configuration.version > self.version,
        )
        self.configuration = configuration

    configuration: ActiveConfiguration | None = None

"""The configuration, lease and phase of an entry process."""

import dataclasses
from enum import Enum

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import NO_VERSION, Version
from chicorybridge.configuration.configurations import ActiveConfiguration


class EntryPhase(Enum):
    """Phase of an entry process: how it handles the connections of callers."""

    serving = 'serving'
    # Closes each connection after its answer.
    draining = 'draining'


@dataclasses.dataclass(kw_only=True)
class EntryState:
    """The state that applies to new requests.

    New requests are accepted until `lease_until`, on the clock that all
    processes of a host share. The lease is checked before each request, so
    that a process resumed after a pause accepts none under an expired lease.
    """

    phase: EntryPhase = EntryPhase.serving
    lease_until: Millis = Millis(0)

    @property
    def version(self) -> Version:
        """Return the version of the configuration, 0 without one."""
        return self.configuration.version if self.configuration else NO_VERSION

    def switch(self, configuration: ActiveConfiguration) -> None:
        """Replace the configuration with a newer one."""
        require(
            promise='the version of the active configuration only increases',
            holds=configuration.version > self.version,
        )
        self.configuration = configuration

    configuration: ActiveConfiguration | None = None

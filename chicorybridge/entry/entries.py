"""The command chicorybridge-entry, which runs an entry process."""

import pathlib
import random

from chicorybridge.common.binaries import (
    ProcessCommand,
    run_application,
    run_listening,
)
from chicorybridge.common.clocks import Clock
from chicorybridge.configuration.process_settings import read_entry_settings
from chicorybridge.entry.entry_processes import EntryProcess


class EntryCommand(ProcessCommand):
    """Run an entry process, the data plane of a host."""

    name = 'entry'
    description = 'Accept requests of callers and forward them to targets'

    def run_process(self, path: pathlib.Path) -> None:
        """Read the settings at `path` and run; raise `ChicorybridgeError`."""
        entry_settings = read_entry_settings(path, self.overrides)
        entry = EntryProcess(
            entry_settings=entry_settings,
            clock=Clock(),
            rng=random.SystemRandom(),
        )
        run_listening(entry_settings.listen, entry)


def main() -> int:
    """Run the command and return its exit status."""
    return run_application('chicorybridge-entry', EntryCommand())

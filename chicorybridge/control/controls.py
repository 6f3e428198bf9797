"""The binary chicorybridge-control: configuration, membership, judgement."""

import pathlib
import random

from chicorybridge.common.binaries import (
    ProcessCommand,
    run_application,
    run_listening,
)
from chicorybridge.common.clocks import Clock
from chicorybridge.configuration.process_settings import read_control_settings
from chicorybridge.control.control_processes import ControlProcess


class ControlCommand(ProcessCommand):
    """Run a control process."""

    name = 'control'
    description = 'Keep the configuration, the membership and the targets'

    def run_process(self, path: pathlib.Path) -> None:
        """Read the settings and run; raise coded errors."""
        given = read_control_settings(path, self.overrides)
        control = ControlProcess(
            given=given, clock=Clock(), rng=random.SystemRandom()
        )
        run_listening(given.listen, control)


def main() -> int:
    """Run the binary and return its exit status."""
    return run_application('chicorybridge-control', ControlCommand())

"""The command chicorybridge-control, which runs a control process."""

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
    """Run a control process, the control plane of a host."""

    name = 'control'
    description = 'Manage configuration, membership and target health'

    def run_process(self, path: pathlib.Path) -> None:
        """Read the settings at `path` and run; raise `ChicorybridgeError`."""
        control_settings = read_control_settings(path, self.overrides)
        control = ControlProcess(
            control_settings=control_settings,
            clock=Clock(),
            rng=random.SystemRandom(),
        )
        run_listening(control_settings.listen, control)


def main() -> int:
    """Run the command and return its exit status."""
    return run_application('chicorybridge-control', ControlCommand())

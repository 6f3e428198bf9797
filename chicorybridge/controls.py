"""The binary chicorybridge-control: configuration, membership, judgement."""

import pathlib
import random

import curio

from chicorybridge.binaries import (
    ProcessCommand,
    run_application,
    run_listening,
)
from chicorybridge.clocks import Clock
from chicorybridge.control_processes import Control
from chicorybridge.process_settings import read_control_settings
from chicorybridge.processes import StopSignals


class ControlCommand(ProcessCommand):
    """Run a control process."""

    name = 'control'
    description = 'Keep the configuration, the membership and the targets'

    def run_process(self, path: pathlib.Path) -> None:
        """Read the settings and run; raise coded errors."""
        given = read_control_settings(path, self.overrides)
        control = Control(given=given, clock=Clock(), rng=random.SystemRandom())

        async def serve(  # noqa: WPS430
            listener: curio.io.Socket, signals: StopSignals
        ) -> None:
            running = await curio.spawn(control.run(listener))
            await signals.wait()
            await control.drain()
            await running.cancel()

        run_listening(given.listen, serve)


def main() -> int:
    """Run the binary and return its exit status."""
    return run_application('chicorybridge-control', ControlCommand())

"""What the binaries of a host share: options, logs, start and stop."""

import logging
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import ClassVar

import curio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from chicorybridge import sockets
from chicorybridge.collectors import freeze_collector
from chicorybridge.errors import ChicorybridgeError
from chicorybridge.options import option
from chicorybridge.processes import StopSignals

VERSION = '0.1.0'

# Serves on a listener until the awaitable of a stop signal returns.
Serve = Callable[[curio.io.Socket, StopSignals], Awaitable[None]]


class ProcessCommand(Command):
    """Base of the commands that run one process of a host."""

    options: ClassVar[list[Option]] = [
        option('settings', 'INI file with the settings'),
        option('listen', 'Address as IP:PORT, in place of the file'),
    ]

    def handle(self) -> int:
        """Run until stopped; return 1 after a coded error."""
        logging.basicConfig(
            level=logging.INFO, stream=sys.stderr, format='%(message)s'
        )
        try:
            self.run_process(pathlib.Path(self.option('settings') or ''))
        except (ChicorybridgeError, OSError) as error:
            self.line_error(str(error))
            return 1
        return 0

    def run_process(self, path: pathlib.Path) -> None:
        """Read the settings and run; raise coded errors."""
        raise NotImplementedError

    @property
    def overrides(self) -> dict[str, str]:
        """Return the settings given on the command line."""
        listen = self.option('listen')
        return {'listen': listen} if listen else {}


class SingleApplication(Application):
    """A command line that is one command, without a word for it."""

    def __init__(self, *, name: str, command: Command) -> None:
        """Run `command` whatever the arguments are."""
        super().__init__(name, VERSION)
        self.add(command)
        self._default_command = command.name or name
        self._single_command = True


def run_listening(address: str, serve: Serve) -> None:
    """Listen on `address`, say where on one line, and serve until done."""
    curio.run(_run_listening, address, serve)


def run_application(name: str, command: Command) -> int:
    """Run a binary that has a single command; return its status."""
    return SingleApplication(name=name, command=command).run()


async def _run_listening(address: str, serve: Serve) -> None:
    signals = StopSignals()
    listener = sockets.listen(address)
    bound = sockets.bound_address(listener)
    sys.stdout.write(f'listening {bound}\n')
    sys.stdout.flush()
    freeze_collector()
    await serve(listener, signals)

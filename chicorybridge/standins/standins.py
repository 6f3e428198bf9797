"""The binary chicorybridge-standin: emulates the platform or a target."""

import logging
import os
import random
import sqlite3
import sys
from typing import ClassVar

import curio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.addresses import Address
from chicorybridge.common.binaries import VERSION
from chicorybridge.common.clocks import Clock
from chicorybridge.common.collectors import freeze_collector
from chicorybridge.common.options import (
    OptionError,
    address_option,
    number_option,
    option,
    option_error,
)
from chicorybridge.common.processes import StopSignals, print_address
from chicorybridge.http.servers import Handler, Server
from chicorybridge.standins.databases import DatabaseTables
from chicorybridge.standins.emulators import EmulatorKnobs, TargetEmulator
from chicorybridge.standins.platforms import PlatformStandin
from chicorybridge.standins.tables import MemoryTables

logger = logging.getLogger(__name__)

LISTEN_OPTION = option(
    'listen', 'Address as IP:PORT; port 0 picks a free port', '127.0.0.1:0'
)
SEED_OPTION = option('seed', 'Seed of the random faults', 1)


async def serve(address: Address, handler: Handler) -> None:
    """Serve until a stop signal, then finish the requests in flight."""
    signals = StopSignals()
    listener = sockets.listen(str(address))
    server = Server(listener=listener, handler=handler)
    print_address(listener)
    freeze_collector()
    accepting = await curio.spawn(server.run)
    await signals.wait()
    await accepting.cancel()
    await server.stop(timeout_ms=settings.STANDIN_STOP_TIMEOUT_MS)


class ServeCommand(Command):
    """Base of the commands that serve: reports coded errors."""

    def handle(self) -> int:
        """Serve until stopped; return 1 after a coded error."""
        logging.basicConfig(level=logging.INFO, stream=sys.stderr)
        try:
            self.serve()
        except OptionError as error:
            self.line_error(str(error))
            return 1
        return 0

    def serve(self) -> None:
        """Serve until stopped; raise `OptionError` for an invalid option."""
        raise NotImplementedError

    def run_handler(self, handler: Handler) -> None:
        """Serve on the address of --listen; pass requests to `handler`."""
        try:
            curio.run(serve, address_option(self, 'listen'), handler)
        except OSError as error:
            raise option_error('listen', error) from error


class PlatformCommand(ServeCommand):
    """The command that emulates the platform."""

    name = 'platform'
    description = 'Emulate the table service, object store and host list'
    options: ClassVar[list[Option]] = [
        LISTEN_OPTION,
        SEED_OPTION,
        option('file', 'Store the tables in this SQLite file'),
    ]

    def serve(self) -> None:
        """Serve the interface of the platform."""
        rng = random.Random(self.option('seed'))
        standin = PlatformStandin(tables=self._tables(), clock=Clock(), rng=rng)
        self.run_handler(standin.handle)

    def _tables(self) -> MemoryTables:
        path = self.option('file')
        if not path:
            return MemoryTables()
        try:
            return DatabaseTables(path=path)
        except sqlite3.Error as error:
            raise option_error('file', error) from error


class TargetCommand(ServeCommand):
    """The command that emulates a target."""

    name = 'target'
    description = 'Emulate a target of the fleet'
    options: ClassVar[list[Option]] = [
        LISTEN_OPTION,
        SEED_OPTION,
        option('name', 'Name of the target in answers', ''),
        option('zone', 'Availability zone in answers', ''),
        option('slots', 'Maximum number of requests at once', settings.SLOTS),
        option(
            'connections',
            'Maximum number of connections at once',
            settings.CONNECTIONS,
        ),
        option(
            'speed', 'Speed of the hardware; 1 is the newest', settings.SPEED
        ),
        option(
            'service-ms',
            'Service time on the newest hardware, in ms',
            settings.STANDIN_SERVICE_MS,
        ),
    ]

    def serve(self) -> None:
        """Serve as a target."""
        emulator = TargetEmulator(
            name=self.option('name') or f'target-{os.getpid()}',
            zone=self.option('zone'),
            knobs=self._knobs(),
            clock=Clock(),
            rng=random.Random(self.option('seed')),
        )
        self.run_handler(emulator.handle)

    def _knobs(self) -> EmulatorKnobs:
        try:
            return EmulatorKnobs(
                slots=int(number_option(self, 'slots')),
                connections=int(number_option(self, 'connections')),
                speed=number_option(self, 'speed'),
                service_ms=number_option(self, 'service-ms'),
            )
        except ValueError as error:
            raise option_error('speed', error) from error


def main() -> int:
    """Run the binary and return its exit status."""
    application = Application('chicorybridge-standin', VERSION)
    application.add(PlatformCommand())
    application.add(TargetCommand())
    return application.run()

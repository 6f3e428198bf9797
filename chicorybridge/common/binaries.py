"""What the binaries of a host share: options, logs, start and stop."""

import logging
import pathlib
import sys
from typing import ClassVar, Protocol

import curio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from chicorybridge.common import sockets
from chicorybridge.common.collectors import freeze_collector
from chicorybridge.common.errors import ChicorybridgeError, PromiseError
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.log_streams import LineFormatter
from chicorybridge.common.options import option
from chicorybridge.common.processes import StopSignals

VERSION = '0.1.0'


class Process(Protocol):
    """What a binary runs: a process that serves and can be drained."""

    log: EventLog

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve until cancelled."""

    async def drain(self, listener: curio.io.Socket) -> None:
        """Finish all work of a planned stop."""

    async def finish(self) -> None:
        """Finish what is under way after a part of the process failed."""


class ProcessCommand(Command):
    """Base of the commands that run one process of a host."""

    options: ClassVar[list[Option]] = [
        option('settings', 'INI file with the settings'),
        option('listen', 'Address as IP:PORT, in place of the file'),
    ]

    def handle(self) -> int:
        """Run until stopped; return 1 after a coded error."""
        self.set_up_logs()
        try:
            self.run_process(pathlib.Path(self.option('settings') or ''))
        except curio.TaskError as error:
            self.line_error(str(error.__cause__))
            return 1
        except (ChicorybridgeError, OSError) as error:
            self.line_error(str(error))
            return 1
        return 0

    def set_up_logs(self) -> None:
        """Write events and messages as JSON lines on standard error."""
        handler = logging.StreamHandler(sys.stderr)
        handler.setFormatter(LineFormatter())
        logging.basicConfig(level=logging.INFO, handlers=[handler])

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


def run_listening(address: str, process: Process) -> None:
    """Listen on `address`, say where on one line, and serve until done."""
    curio.run(_run_listening, address, process)


def run_application(name: str, command: Command) -> int:
    """Run a binary that has a single command; return its status."""
    return SingleApplication(name=name, command=command).run()


async def serve(
    process: Process, listener: curio.io.Socket, signals: StopSignals
) -> None:
    """Serve until a stop signal, then drain.

    What ends it early is raised once the work under way is finished.
    """
    ended = curio.Event()
    running = await curio.spawn(_run(process, listener, ended))
    await curio.spawn(_wait(signals, ended), daemon=True)
    await ended.wait()
    if running.terminated:
        await process.finish()
        await running.join()
    process.log.emit(Event(kind=EventKind.process_stopping))
    await process.drain(listener)
    process.log.emit(Event(kind=EventKind.process_stopped))
    await running.cancel()


async def _run(
    process: Process, listener: curio.io.Socket, ended: curio.Event
) -> None:
    address = sockets.bound_address(listener)
    process.log.emit(
        Event(kind=EventKind.process_started, facts={'address': address})
    )
    try:
        await process.run(listener)
    except ChicorybridgeError as error:
        process.log.emit(_failure(error))
        raise
    finally:
        await ended.set()


async def _wait(signals: StopSignals, ended: curio.Event) -> None:
    await signals.wait()
    await ended.set()


def _failure(error: ChicorybridgeError) -> Event:
    kind = EventKind.process_failed
    if isinstance(error, PromiseError):
        kind = EventKind.promise_broken
    return Event(kind=kind, facts={'error': str(error)})


async def _run_listening(address: str, process: Process) -> None:
    signals = StopSignals()
    listener = sockets.listen(address)
    bound = sockets.bound_address(listener)
    sys.stdout.write(f'listening {bound}\n')
    sys.stdout.flush()
    freeze_collector()
    await serve(process, listener, signals)

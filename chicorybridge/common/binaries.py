"""Options, logs, start and stop of the binaries that run on a host."""

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
    """A process that a binary runs: it serves and can be drained."""

    log: EventLog

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve connections of `listener` until cancelled."""

    async def drain(self, listener: curio.io.Socket) -> None:
        """Complete the drain of a planned stop."""

    async def finish(self) -> None:
        """Finish the work in progress after a part of the process failed."""


class ProcessCommand(Command):
    """Base of the commands that run one process of a host."""

    options: ClassVar[list[Option]] = [
        option('settings', 'INI file with the settings'),
        option('listen', 'IP:PORT to listen on; overrides the settings file'),
    ]

    def handle(self) -> int:
        """Run until stopped; return the exit status, 1 after an error."""
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
        """Log events and messages as JSON lines on standard error."""
        handler = logging.StreamHandler(sys.stderr)
        handler.setFormatter(LineFormatter())
        logging.basicConfig(level=logging.INFO, handlers=[handler])

    def run_process(self, path: pathlib.Path) -> None:
        """Read the settings file and run; raise `ChicorybridgeError`."""
        raise NotImplementedError

    @property
    def overrides(self) -> dict[str, str]:
        """Return the settings that the command line overrides."""
        listen = self.option('listen')
        return {'listen': listen} if listen else {}


class SingleCommandApplication(Application):
    """An application with a single command, run without a subcommand name."""

    def __init__(self, *, name: str, command: Command) -> None:
        """Run `command` by default, with all arguments passed to it."""
        super().__init__(name, VERSION)
        self.add(command)
        self._default_command = command.name or name
        self._single_command = True


def run_listening(address: str, process: Process) -> None:
    """Listen on `address`, print the bound address and serve until stopped."""
    curio.run(_run_listening, address, process)


def run_application(name: str, command: Command) -> int:
    """Run a binary that has a single command; return the exit status."""
    return SingleCommandApplication(name=name, command=command).run()


async def serve(
    process: Process, listener: curio.io.Socket, signals: StopSignals
) -> None:
    """Serve until a stop signal, then drain.

    If the process fails first, finish the work in progress and raise the
    error.
    """
    must_stop = curio.Event()
    running = await curio.spawn(_run(process, listener, must_stop))
    await curio.spawn(_wait_for_stop(signals, must_stop), daemon=True)
    await must_stop.wait()
    if running.terminated:
        await process.finish()
        await running.join()
    process.log.emit(Event(kind=EventKind.process_stopping))
    await process.drain(listener)
    process.log.emit(Event(kind=EventKind.process_stopped))
    await running.cancel()


async def _run(
    process: Process, listener: curio.io.Socket, must_stop: curio.Event
) -> None:
    address = sockets.bound_address(listener)
    process.log.emit(
        Event(kind=EventKind.process_started, facts={'address': address})
    )
    try:
        await process.run(listener)
    except ChicorybridgeError as error:
        process.log.emit(_failure_event(error))
        raise
    finally:
        await must_stop.set()


async def _wait_for_stop(signals: StopSignals, must_stop: curio.Event) -> None:
    await signals.wait()
    await must_stop.set()


def _failure_event(error: ChicorybridgeError) -> Event:
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

"""Start and stop of processes that listen: address, signals and exit."""

import logging
import os
import signal
import socket
import sys
from collections.abc import Callable, Iterable
from typing import NoReturn

import curio

from chicorybridge.common.addresses import Address

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def print_address(listener: curio.io.Socket) -> Address:
    """Print the address that `listener` is bound to, and return it."""
    host, port = listener.getsockname()
    address = Address(host=host, port=port)
    sys.stdout.write(f'listening {address}\n')
    sys.stdout.flush()
    return address


def end_process(status: int) -> NoReturn:
    """Exit without the teardown of the interpreter, which takes 0.1 s or more.

    A process that stops must end within its grace period, and nothing is
    left to clean up.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # noqa: WPS437


class StopSignals:
    """Receive signals through a socket, so that a task can wait for them."""

    def __init__(self, *, signals: Iterable[int] = STOP_SIGNALS) -> None:
        """Handle `signals` from now on; call this on the main thread."""
        reader, writer = socket.socketpair()
        writer.setblocking(False)
        self._reader = reader
        # Kept open, as the interpreter writes the signals to it.
        self._writer = writer
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in signals:
            signal.signal(number, _ignore_signal)

    async def wait(self) -> int:
        """Wait for the next signal and return its number."""
        numbers = await curio.io.Socket(self._reader).recv(1)
        return numbers[0]


class ReloadSignals(StopSignals):
    """Stop signals, and SIGHUP, which reloads the settings."""

    def __init__(self, *, reload: Callable[[], None]) -> None:
        """Call `reload` on each SIGHUP."""
        super().__init__(signals=(*STOP_SIGNALS, signal.SIGHUP))
        self._reload = reload

    async def wait(self) -> int:
        """Wait for the next stop signal and return its number."""
        number = await super().wait()
        while number == signal.SIGHUP:
            self._reload()
            number = await super().wait()
        return number


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing; the signal is received through the wakeup socket."""

"""Start and stop of a process that listens: address, signals, stop."""

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
    """Print the bound address on one line and return it."""
    host, port = listener.getsockname()
    address = Address(host=host, port=port)
    sys.stdout.write(f'listening {address}\n')
    sys.stdout.flush()
    return address


def end_process(status: int) -> NoReturn:
    """End without the teardown of the interpreter, which takes 0.1 s or more.

    A process that stops has until its grace; nothing is left to clean up.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # noqa: WPS437


class StopSignals:
    """Turn signals into bytes on a socket that a task can wait for."""

    def __init__(self, *, signals: Iterable[int] = STOP_SIGNALS) -> None:
        """Catch `signals` from now on; call on the main thread."""
        reader, writer = socket.socketpair()
        writer.setblocking(False)
        self._reader = reader
        # The writer has to outlive this call: signals write to it.
        self._writer = writer
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in signals:
            signal.signal(number, _ignore)

    async def wait(self) -> int:
        """Return the number of the next signal."""
        numbers = await curio.io.Socket(self._reader).recv(1)
        return numbers[0]


class ReloadSignals(StopSignals):
    """Stop signals, and one on which settings are read again."""

    def __init__(self, *, reload: Callable[[], None]) -> None:
        """Call `reload` on each SIGHUP."""
        super().__init__(signals=(*STOP_SIGNALS, signal.SIGHUP))
        self._reload = reload

    async def wait(self) -> int:
        """Return the number of the next stop signal."""
        number = await super().wait()
        while number == signal.SIGHUP:
            self._reload()
            number = await super().wait()
        return number


def _ignore(number: int, frame: object) -> None:
    """Leave the signal to the wakeup socket."""

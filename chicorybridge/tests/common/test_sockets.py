"""Accepting connections after errors of the kernel."""

import errno

import curio
import pytest

from chicorybridge.common import sockets
from chicorybridge.tests.hosts.deployments import on_curio


class FailingListener:
    """A listener that fails with each error in turn, then accepts."""

    def __init__(self, *, errors: list[int]) -> None:
        """Fail with `errors`, a list of errno values."""
        self._errors = errors

    async def accept(self) -> tuple[curio.io.Socket, tuple[str, int]]:
        """Return a connection once no error is left."""
        if self._errors:
            raise OSError(self._errors.pop(0), 'no connection')
        sock, _ = curio.socket.socketpair()
        return sock, ('127.0.0.1', 1)


@on_curio
async def test_accept_continues_after_errors(
    monkeypatch,
):
    monkeypatch.setattr(sockets, 'disable_delay', lambda sock: None)
    listener = FailingListener(
        errors=[errno.ECONNABORTED, errno.EMFILE, errno.EPROTO]
    )
    sock, source = await sockets.accept(listener)
    await sock.close()
    assert source == '127.0.0.1'


@on_curio
async def test_accept_raises_for_a_closed_listener():
    with pytest.raises(OSError, match='no connection'):
        await sockets.accept(FailingListener(errors=[errno.EBADF]))

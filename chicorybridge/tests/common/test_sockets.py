"""Sockets whose other end or whose process is in trouble."""

import errno

import curio
import pytest

from chicorybridge.common import sockets
from chicorybridge.tests.hosts.deployments import on_curio


class FailingListener:
    """Fails to accept with each error in turn, then accepts."""

    def __init__(self, *, errors: list[int]) -> None:
        """Fail with `errors`, numbers of the kernel."""
        self._errors = errors

    async def accept(self) -> tuple[curio.io.Socket, tuple[str, int]]:
        """Return a connection once no error is left."""
        if self._errors:
            raise OSError(self._errors.pop(0), 'no connection')
        mine, _ = curio.socket.socketpair()
        return mine, ('127.0.0.1', 1)


@on_curio
async def test_listener_survives_connections_that_fail_as_they_are_taken(
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
async def test_closed_listener_accepts_no_more():
    with pytest.raises(OSError, match='no connection'):
        await sockets.accept(FailingListener(errors=[errno.EBADF]))

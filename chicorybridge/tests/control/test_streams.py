"""Tests of authenticated streams between processes."""

import curio
import msgpack
import pytest

from chicorybridge.common.errors import ErrorCode, StreamError
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.control.streams import Identity, MessageStream, Role

KEY = b'shared key of the tests'


def _stream(sock, *, host_id='a', key=KEY, role=Role.peer):
    identity = Identity(
        role=role,
        host_id=HostId(host_id),
        incarnation=Incarnation(1),
        keys_by_role={role: key} if key else {},
    )
    return MessageStream(sock=sock, identity=identity)


async def _open_pair(first, second):
    """Open both ends and return their results or errors."""
    task = await curio.spawn(first.open(accepted=False))
    try:
        await second.open(accepted=True)
    except StreamError as error:
        await second.close()
        await task.wait()
        return error
    await task.wait()
    return task.exception


async def _exchange(**second):
    left, right = curio.socket.socketpair()
    first = _stream(left)
    other = _stream(right, host_id='b', **second)
    error = await _open_pair(first, other)
    return first, other, error


async def _talk():
    first, second, error = await _exchange()
    assert error is None
    await first.send({'n': (1, 2)})
    received = await second.receive()
    return received, second.peer.host_id


def test_messages_pass_between_ends_that_share_a_key():
    """The receiver gets the message and knows who sent it."""
    assert curio.run(_talk) == ({'n': (1, 2)}, 'a')


@pytest.mark.parametrize(
    'second', [{'key': b'another key'}, {'key': b''}, {'role': Role.entry}]
)
def test_another_key_or_role_is_refused(second):
    """No message passes without the key of the role."""
    _, _, error = curio.run(lambda: _exchange(**second))
    assert error is not None


async def _repeat_frame():
    first, second, _ = await _exchange()
    frame = first.seal('once')
    for _ in range(2):
        await first._sock.sendall(frame)  # noqa: SLF001
    await second.receive()
    await second.receive()


async def _forge_frame():
    first, second, _ = await _exchange()
    sequence, logical_time, _, digest = msgpack.unpackb(first.seal('good'))
    forged = msgpack.packb((sequence, logical_time, b'\xa3bad', digest))
    await first._sock.sendall(forged)  # noqa: SLF001
    await second.receive()


@pytest.mark.parametrize('attack', [_repeat_frame, _forge_frame])
def test_repeated_or_forged_frame_is_refused(attack):
    """The digest and the sequence cover every frame."""
    with pytest.raises(StreamError) as raised:
        curio.run(attack)
    code = raised.value.code  # noqa: WPS441
    assert code is ErrorCode.stream_unauthenticated

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


async def _open_pair(opener, acceptor):
    """Open both ends; return the error of either, `None` without one."""
    task = await curio.spawn(opener.open(accepted=False))
    try:
        await acceptor.open(accepted=True)
    except StreamError as error:
        await acceptor.close()
        await task.wait()
        return error
    await task.wait()
    return task.exception


async def _connect(**acceptor_options):
    left, right = curio.socket.socketpair()
    opener = _stream(left)
    acceptor = _stream(right, host_id='b', **acceptor_options)
    error = await _open_pair(opener, acceptor)
    return opener, acceptor, error


async def _send_one():
    opener, acceptor, error = await _connect()
    assert error is None
    await opener.send({'n': (1, 2)})
    received = await acceptor.receive()
    return received, acceptor.peer.host_id


def test_message_arrives_if_both_ends_have_the_key():
    """The receiver gets the message and the host id of the sender."""
    assert curio.run(_send_one) == ({'n': (1, 2)}, 'a')


@pytest.mark.parametrize(
    'acceptor_options',
    [{'key': b'another key'}, {'key': b''}, {'role': Role.entry}],
)
def test_different_key_or_role_is_rejected(acceptor_options):
    """A stream does not open without the key of the role."""
    _, _, error = curio.run(lambda: _connect(**acceptor_options))
    assert error is not None


async def _replay_frame():
    opener, acceptor, _ = await _connect()
    frame = opener.encode_frame('once')
    for _ in range(2):
        await opener._sock.sendall(frame)  # noqa: SLF001
    await acceptor.receive()
    await acceptor.receive()


async def _forge_frame():
    opener, acceptor, _ = await _connect()
    sequence, logical_time, _, digest = msgpack.unpackb(
        opener.encode_frame('good')
    )
    forged = msgpack.packb((sequence, logical_time, b'\xa3bad', digest))
    await opener._sock.sendall(forged)  # noqa: SLF001
    await acceptor.receive()


@pytest.mark.parametrize('attack', [_replay_frame, _forge_frame])
def test_replayed_or_forged_frame_is_rejected(attack):
    """The digest and the sequence number protect every frame."""
    with pytest.raises(StreamError) as raised:
        curio.run(attack)
    code = raised.value.code  # noqa: WPS441
    assert code is ErrorCode.stream_unauthenticated

"""Tests of typed messages on the wire."""

import pytest

from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.errors import StreamError
from chicorybridge.common.identities import HostId
from chicorybridge.storage.stores import HostState, ListedHost


def test_round_trip_keeps_nested_types():
    """Messages, enums, tuples and dicts come back as they went."""
    host = ListedHost(
        host_id=HostId('a'), address='127.0.0.1:1', state=HostState.live
    )
    message = {'hosts': (host, host), 1: b'bytes'}
    assert unpack(pack(message)) == message


@pytest.mark.parametrize('body', [b'', b'\xc1', b'\xc7\x01\x01\xa1x'])
def test_malformed_body_is_refused(body):
    """Garbage raises the coded error of streams."""
    with pytest.raises(StreamError):
        unpack(body)

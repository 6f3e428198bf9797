"""Tests of the platform stand-in through `PlatformClient`."""

import contextlib
import hashlib
import json
import random

from chicorybridge.common.addresses import Address
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.identities import Digest, HostId
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import Request
from chicorybridge.standins.platforms import PlatformStandin
from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage.clients import PlatformClient
from chicorybridge.storage.documents import KNOBS_PATH
from chicorybridge.storage.stores import (
    Condition,
    GetObject,
    HostState,
    ListedHost,
    ListHosts,
    PutObject,
    ReadRows,
    RowKey,
    ScanRows,
    StoreOutcome,
    Transact,
    Write,
)
from chicorybridge.tests.serving import serving

HEAD = RowKey(table='configuration', key='head/1')
CREATE = Transact(
    conditions=(Condition(row_key=HEAD, version=0),),
    writes=(Write(row_key=HEAD, body={'digest': 'd'}),),
)
READ = ReadRows(row_keys=(HEAD,))
BODY = b'declaration' * 1000
DIGEST = Digest(hashlib.sha256(BODY).hexdigest())
HOST = ListedHost(
    host_id=HostId('host-1'), address='127.0.0.1:9', state=HostState.live
)


class Platform:
    """A platform stand-in with a client, a clock and access to its knobs."""

    def __init__(self):
        """Start without faults."""
        self.clock = ManualClock()
        self.tables = MemoryTables()
        self.standin = PlatformStandin(
            tables=self.tables, clock=self.clock, rng=random.Random(1)
        )
        self.address = Address(host='127.0.0.1', port=0)
        self.client = self._client()

    @contextlib.asynccontextmanager
    async def running(self, *, timeout_ms=200):
        """Serve while the block runs."""
        async with serving(self.standin.handle) as address:
            self.address = address
            self.client = self._client(timeout_ms)
            yield self.client
            await self.client.close()

    async def set_knobs(self, **knobs):
        """Change knobs over HTTP and return the status."""
        request = Request(
            method='POST', path=KNOBS_PATH, body=json.dumps(knobs).encode()
        )
        answer = await Client().fetch(self.address, request, timeout_ms=500)
        return answer.status

    async def hosts_after(self, wait_ms):
        """Advance the clock by `wait_ms` and return the host list."""
        self.clock.advance(by_ms=wait_ms)
        return (await self.client.execute(ListHosts())).hosts

    def _client(self, timeout_ms=200):
        return PlatformClient(
            address=self.address,
            host_id=HostId('host-1'),
            timeout_ms=timeout_ms,
        )


async def test_transactions_reads_scans_and_objects():
    """Every type of store request works over HTTP."""
    platform = Platform()
    async with platform.running() as client:
        created = await client.execute(CREATE, token='t')
        again = await client.execute(CREATE)
        read = await client.execute(READ)
        scan = ScanRows(table='configuration', prefix='head/')
        put = PutObject(digest=DIGEST, body=BODY)
        missing = await client.execute(GetObject(digest=DIGEST))
        stored = await client.execute(put)
        loaded = await client.execute(GetObject(digest=DIGEST))
        scanned = await client.execute(scan)
    assert (created.token, created.outcome) == ('t', StoreOutcome.done)
    assert again.outcome is StoreOutcome.conflict
    assert again.rows == read.rows == scanned.rows == created.rows
    assert read.rows[0].version == 1
    assert (missing.outcome, missing.body) == (StoreOutcome.done, None)
    assert stored.outcome is StoreOutcome.done
    assert loaded.body == BODY


async def test_object_under_another_digest_is_refused():
    """A body that does not match its digest is not stored."""
    platform = Platform()
    async with platform.running() as client:
        wrong = PutObject(digest=DIGEST, body=b'other')
        reply = await client.execute(wrong)
    assert reply.outcome is StoreOutcome.unavailable
    assert not platform.tables.objects_by_digest


async def test_outage_is_unavailable_and_writes_nothing():
    """A 503 answer and a refused connection are both unavailable."""
    platform = Platform()
    async with platform.running() as client:
        await platform.set_knobs(outage=True)
        refused = await client.execute(CREATE)
        registered = await client.register(HOST)
    not_connected = await platform.client.execute(CREATE)
    assert refused.outcome is StoreOutcome.unavailable
    assert not_connected.outcome is StoreOutcome.unavailable
    assert not registered
    assert not platform.tables.rows_by_key


async def test_unanswered_write_takes_effect():
    """A lost answer gives `unanswered` for a write, not for a read."""
    platform = Platform()
    async with platform.running() as client:
        await platform.set_knobs(unanswered_share=1)
        written = await client.execute(CREATE)
        read = await client.execute(READ)
    assert written.outcome is StoreOutcome.unanswered
    assert read.outcome is StoreOutcome.unavailable
    assert HEAD in platform.tables.rows_by_key


async def test_loss_in_one_direction_affects_one_host():
    """Requests or answers of one host are lost; other hosts are served."""
    platform = Platform()
    async with platform.running(timeout_ms=60) as client:
        await platform.set_knobs(lost_requests=['host-1'])
        without_request = await client.execute(CREATE)
        written = HEAD in platform.tables.rows_by_key
        await platform.set_knobs(lost_requests=[], lost_answers=['host-1'])
        without_answer = await client.execute(CREATE)
        await platform.set_knobs(lost_answers=['host-2'])
        of_other_host = await client.execute(READ)
    assert without_request.outcome is StoreOutcome.unanswered
    assert not written
    assert without_answer.outcome is StoreOutcome.unanswered
    assert of_other_host.rows[0].version == 1


async def test_slow_platform_times_out_as_unanswered():
    """A write that was sent may still take effect after the timeout."""
    platform = Platform()
    async with platform.running(timeout_ms=30) as client:
        await platform.set_knobs(delay_ms=5000)
        reply = await client.execute(CREATE)
    assert reply.outcome is StoreOutcome.unanswered


async def test_host_list_lags_and_drops_silent_hosts():
    """Changes appear after the lag; a host expires with its lease."""
    platform = Platform()
    leaving = ListedHost(
        host_id=HOST.host_id, address=HOST.address, state=HostState.leaving
    )
    lists = []
    async with platform.running() as client:
        await platform.set_knobs(host_lag_ms=1000, host_lease_ms=5000)
        assert await client.register(HOST)
        lists.append(await platform.hosts_after(1000))
        assert await client.register(leaving)
        lists.append(await platform.hosts_after(500))
        lists.append(await platform.hosts_after(500))
        lists.append(await platform.hosts_after(5000))
    assert lists == [(HOST,), (HOST,), (leaving,), ()]


async def test_unknown_knob_is_refused():
    """An unknown name, a bad type or a negative value is answered 400."""
    platform = Platform()
    async with platform.running():
        assert await platform.set_knobs(outtage=True) == 400
        assert await platform.set_knobs(delay_ms='5') == 400
        assert await platform.set_knobs(delay_ms=-1) == 400
        assert await platform.set_knobs(outage=1) == 400
        assert await platform.set_knobs(outage=True) == 200

"""What a claim costs: requests to the platform, processor time, memory.

python -m chicorybridge.tools.measurements.claim_costs run
"""

import gc
import hashlib
import json
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command

from chicorybridge.claims.claim_messages import (
    AttemptId,
    ClaimDecided,
    ClaimFinished,
    ClaimRequested,
    EntryId,
    KeptAnswer,
)
from chicorybridge.claims.claims import Claims
from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.identities import (
    Digest,
    HostId,
    Incarnation,
    RequestKey,
)
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.common.systems import Effect, Send, SendToEntries
from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage.stores import StoreReply, StoreRequest, Transact
from chicorybridge.tools.simulations.channels import FaultyChannel

RATES = (1, 10, 100, 1000)
SECONDS = 20
TICK_MS = 10
RUN_MS = 50
STORE_DELAY_MS = (5, 25)
CLAIMS_TIMED = 10_000
MICROS = 1_000_000
KEPT_BYTES = 300
UNLIMITED = 1_000_000
ANSWER = KeptAnswer(status=HTTPStatus.OK, body=bytes(KEPT_BYTES))
BODY = Digest(hashlib.sha256().hexdigest())
ENTRY_ID = EntryId(format(1, '016x'))
HEX = 16


class CountingTables(MemoryTables):
    """Count transactions, rows written and rows that conditions read."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__()
        self.transactions = 0
        self.rows_written = 0
        self.rows_compared = 0

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Carry out and count."""
        if isinstance(request, Transact):
            self.transactions += 1
            self.rows_written += len(request.writes)
            self.rows_compared += len(request.conditions)
        return super().execute(request, token=token)


def measure_writes(rate: int) -> dict[str, float]:
    """Return the platform's work per claim of a caller's key on one host."""
    channel = FaultyChannel(seed=rate)
    tables = CountingTables()
    channel.store.tables = tables
    channel.store_delay_ms = STORE_DELAY_MS
    host_id = HostId('a')
    claims = _claims(host_id)
    # Leave the limit of the fleet out, to see the cost itself.
    claims.assignments.write_bucket = TokenBucket(
        per_second=UNLIMITED, burst=UNLIMITED
    )
    channel.add(host_id, claims)
    claimed = _drive(channel, host_id, rate)
    return {
        'claims_per_second': rate,
        'transactions_per_claim': round(tables.transactions / claimed, 3),
        'rows_written_per_claim': round(tables.rows_written / claimed, 3),
        'rows_compared_per_claim': round(tables.rows_compared / claimed, 3),
        'transactions_per_second': round(tables.transactions / SECONDS, 1),
    }


def measure_processor() -> dict[str, float]:
    """Return the processor time of claims of issued keys, in us each."""
    owner, other = _claims(HostId('a')), _claims(HostId('b'))
    local = _time(lambda serial: _claim_through(owner, owner, serial))
    relayed = _time(lambda serial: _claim_through(other, owner, serial))
    return {'local_us': local, 'relayed_both_hosts_us': relayed}


def measure_memory() -> dict[str, float]:
    """Return the memory of claims kept, in bytes each."""
    owner = _claims(HostId('a'))
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for serial in range(CLAIMS_TIMED):
        _claim_through(owner, owner, serial)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'bytes_per_claim': round((after - before) / CLAIMS_TIMED),
        'of_which_answer': KEPT_BYTES,
    }


def _drive(channel: FaultyChannel, host_id: HostId, rate: int) -> int:
    """Claim and end at a rate; return how many claims there were."""
    rng = random.Random(rate)
    claimed = 0
    running: list[tuple[float, ClaimFinished]] = []
    for _ in range(SECONDS * MILLIS_PER_SECOND // TICK_MS):
        for _ in range(_arrivals(rng, rate * TICK_MS / MILLIS_PER_SECOND)):
            claimed += 1
            key = RequestKey(f'key-{claimed}')
            channel.deliver(host_id, _request(key, claimed), sender=host_id)
        channel.run(for_ms=TICK_MS, tick_ms=TICK_MS)
        now = channel.clock.now()
        running += [(now + RUN_MS, finished) for finished in _ends(channel)]
        while running and running[0][0] <= now:
            channel.deliver(host_id, running.pop(0)[1], sender=host_id)
    return claimed


def _claims(host_id: HostId) -> Claims:
    return Claims(host_id=host_id, incarnation=Incarnation(1), today=int)


def _request(key: RequestKey, serial: int) -> ClaimRequested:
    return ClaimRequested(
        attempt_id=AttemptId('/'.join((ENTRY_ID, format(serial, '016x')))),
        entry_id=ENTRY_ID,
        key=key,
        fingerprint=BODY,
    )


def _end(decided: ClaimDecided, key: RequestKey) -> ClaimFinished:
    if decided.owner is None:
        raise ValueError(f'{key} was not told to run')
    return ClaimFinished(
        attempt_id=decided.attempt_id,
        key=key,
        owner=decided.owner,
        outcome=RequestOutcome.complete,
        answer=ANSWER,
    )


def _ends(channel: FaultyChannel) -> list[ClaimFinished]:
    decisions = [
        message
        for _, _, message in channel.entry_messages
        if isinstance(message, ClaimDecided)
    ]
    channel.entry_messages.clear()
    return [_end(decided, _key_of(decided.attempt_id)) for decided in decisions]


def _key_of(attempt_id: AttemptId) -> RequestKey:
    serial = int(attempt_id.rpartition('/')[2], HEX)
    return RequestKey(f'key-{serial}')


def _arrivals(rng: random.Random, mean: float) -> int:
    """Draw how many arrive in one tick of a Poisson process."""
    arrivals = 0
    at = rng.expovariate(1)
    while at < mean:
        arrivals += 1
        at += rng.expovariate(1)
    return arrivals


def _time(claim: Callable[[int], None]) -> float:
    started = time.process_time()
    for serial in range(CLAIMS_TIMED):
        claim(serial)
    elapsed = time.process_time() - started
    return round(elapsed / CLAIMS_TIMED * MICROS, 1)


def _claim_through(asker: Claims, owner: Claims, serial: int) -> None:
    """Claim a key of `owner` through `asker`, and report its end."""
    name = asker.owner.host_id
    prefix = owner.claim_owner.key_prefix
    key = RequestKey(f'{prefix}{name}-{serial}')
    decided = _exchange(asker, owner, _request(key, serial))
    _exchange(asker, owner, _end(decided, key))


def _exchange(asker: Claims, owner: Claims, message: Any) -> Any:
    """Carry a message in and all that follows from it, wire and all."""
    by_host = {claims.owner.host_id: claims for claims in (asker, owner)}
    sender = asker.owner.host_id
    queue: list[tuple[HostId, HostId, Any]] = [
        (sender, sender, unpack(pack(message)))
    ]
    told = None
    while queue:
        to, sender, message = queue.pop(0)
        effects = by_host[to].receive(message, sender=sender, now=Millis(0))
        told = _told(effects) or told
        queue += [(send.to, to, _wired(send)) for send in _sends(effects)]
    return told


def _sends(effects: Iterable[Effect]) -> list[Send]:
    return [effect for effect in effects if isinstance(effect, Send)]


def _wired(send: Send) -> Any:
    return unpack(pack(send.message))


def _told(effects: Iterable[Effect]) -> Any:
    told = [
        unpack(pack(effect.message))
        for effect in effects
        if isinstance(effect, SendToEntries)
    ]
    return told[0] if told else None


class CostCommand(Command):
    """Measure and print lines of JSON."""

    name = 'run'
    description = 'Measure what a claim costs.'

    def handle(self) -> int:
        """Measure writes at several rates, then processor and memory."""
        for rate in RATES:
            self.line(json.dumps(measure_writes(rate)))
        self.line(json.dumps(measure_processor()))
        self.line(json.dumps(measure_memory()))
        return 0


def main() -> None:
    """Run the command line."""
    application = Application('claim_costs')
    application.add(CostCommand())
    application.run()


if __name__ == '__main__':
    main()

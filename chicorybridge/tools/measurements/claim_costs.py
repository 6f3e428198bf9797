"""Measure platform requests, processor time and memory per claim.

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

CLAIM_RATES = (1, 10, 100, 1000)
DURATION_S = 20
TICK_INTERVAL_MS = 10
RUN_MS = 50
STORE_DELAY_MS = (5, 25)
TIMED_CLAIMS = 10_000
MICROS_PER_SECOND = 1_000_000
ANSWER_BYTES = 300
UNLIMITED_RATE = 1_000_000
ANSWER = KeptAnswer(status=HTTPStatus.OK, body=bytes(ANSWER_BYTES))
FINGERPRINT = Digest(hashlib.sha256().hexdigest())
ENTRY_ID = EntryId(format(1, '016x'))
HEX_BASE = 16


class CountingTables(MemoryTables):
    """Count transactions, rows written and rows that conditions read."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__()
        self.transactions = 0
        self.rows_written = 0
        self.rows_compared = 0

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Execute a request and count its transaction, if it is one."""
        if isinstance(request, Transact):
            self.transactions += 1
            self.rows_written += len(request.writes)
            self.rows_compared += len(request.conditions)
        return super().execute(request, token=token)


def measure_writes(rate: int) -> dict[str, float]:
    """Return the platform's work per claim of a caller's own key."""
    channel = FaultyChannel(seed=rate)
    tables = CountingTables()
    channel.store.tables = tables
    channel.store_delay_ms = STORE_DELAY_MS
    host_id = HostId('a')
    claims = _make_claims(host_id)
    # Without the limit on writes of the fleet, which would delay claims.
    claims.assignments.write_bucket = TokenBucket(
        per_second=UNLIMITED_RATE, burst=UNLIMITED_RATE
    )
    channel.add(host_id, claims)
    claimed = _run_claims(channel, host_id, rate)
    return {
        'claims_per_second': rate,
        'transactions_per_claim': round(tables.transactions / claimed, 3),
        'rows_written_per_claim': round(tables.rows_written / claimed, 3),
        'rows_compared_per_claim': round(tables.rows_compared / claimed, 3),
        'transactions_per_second': round(tables.transactions / DURATION_S, 1),
    }


def measure_processor() -> dict[str, float]:
    """Return the processor time per claim of an issued key, in us."""
    owner, other = _make_claims(HostId('a')), _make_claims(HostId('b'))
    local = _measure_us(lambda serial: _claim_and_finish(owner, owner, serial))
    relayed = _measure_us(
        lambda serial: _claim_and_finish(other, owner, serial)
    )
    return {'local_us': local, 'relayed_both_hosts_us': relayed}


def measure_memory() -> dict[str, float]:
    """Return the memory per claim that is kept, in bytes."""
    owner = _make_claims(HostId('a'))
    gc.collect()
    tracemalloc.start()
    bytes_before, _ = tracemalloc.get_traced_memory()
    for serial in range(TIMED_CLAIMS):
        _claim_and_finish(owner, owner, serial)
    gc.collect()
    bytes_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'bytes_per_claim': round((bytes_after - bytes_before) / TIMED_CLAIMS),
        'of_which_answer': ANSWER_BYTES,
    }


def _run_claims(channel: FaultyChannel, host_id: HostId, rate: int) -> int:
    """Claim keys at a rate and finish the claims; return their number."""
    rng = random.Random(rate)
    claimed = 0
    running: list[tuple[float, ClaimFinished]] = []
    for _ in range(DURATION_S * MILLIS_PER_SECOND // TICK_INTERVAL_MS):
        for _ in range(
            _draw_arrivals(rng, rate * TICK_INTERVAL_MS / MILLIS_PER_SECOND)
        ):
            claimed += 1
            key = RequestKey(f'key-{claimed}')
            channel.deliver(
                host_id, _make_request(key, claimed), sender=host_id
            )
        channel.run(for_ms=TICK_INTERVAL_MS, tick_ms=TICK_INTERVAL_MS)
        now = channel.clock.now()
        running += [
            (now + RUN_MS, finished) for finished in _finished_messages(channel)
        ]
        while running and running[0][0] <= now:
            channel.deliver(host_id, running.pop(0)[1], sender=host_id)
    return claimed


def _make_claims(host_id: HostId) -> Claims:
    return Claims(host_id=host_id, incarnation=Incarnation(1), today=int)


def _make_request(key: RequestKey, serial: int) -> ClaimRequested:
    return ClaimRequested(
        attempt_id=AttemptId('/'.join((ENTRY_ID, format(serial, '016x')))),
        entry_id=ENTRY_ID,
        key=key,
        fingerprint=FINGERPRINT,
    )


def _finished_message(decided: ClaimDecided, key: RequestKey) -> ClaimFinished:
    if decided.owner is None:
        raise ValueError(f'claim of {key} has no owner')
    return ClaimFinished(
        attempt_id=decided.attempt_id,
        key=key,
        owner=decided.owner,
        outcome=RequestOutcome.complete,
        answer=ANSWER,
    )


def _finished_messages(channel: FaultyChannel) -> list[ClaimFinished]:
    decisions = [
        message
        for _, _, message in channel.entry_messages
        if isinstance(message, ClaimDecided)
    ]
    channel.entry_messages.clear()
    return [
        _finished_message(decided, _key_of(decided.attempt_id))
        for decided in decisions
    ]


def _key_of(attempt_id: AttemptId) -> RequestKey:
    serial = int(attempt_id.rpartition('/')[2], HEX_BASE)
    return RequestKey(f'key-{serial}')


def _draw_arrivals(rng: random.Random, mean: float) -> int:
    """Return a random number of arrivals of a Poisson process."""
    arrivals = 0
    arrival = rng.expovariate(1)
    while arrival < mean:
        arrivals += 1
        arrival += rng.expovariate(1)
    return arrivals


def _measure_us(claim: Callable[[int], None]) -> float:
    started = time.process_time()
    for serial in range(TIMED_CLAIMS):
        claim(serial)
    elapsed = time.process_time() - started
    return round(elapsed / TIMED_CLAIMS * MICROS_PER_SECOND, 1)


def _claim_and_finish(requester: Claims, owner: Claims, serial: int) -> None:
    """Claim and finish a key of `owner` through the host of `requester`."""
    name = requester.owner.host_id
    prefix = owner.claim_owner.key_prefix
    key = RequestKey(f'{prefix}{name}-{serial}')
    decided = _deliver_all(requester, owner, _make_request(key, serial))
    _deliver_all(requester, owner, _finished_message(decided, key))


def _deliver_all(requester: Claims, owner: Claims, message: Any) -> Any:
    """Deliver a message and all that follow; return the reply to the entry.

    Each message is encoded and decoded, as between processes.
    """
    claims_by_host = {
        claims.owner.host_id: claims for claims in (requester, owner)
    }
    sender = requester.owner.host_id
    queue: list[tuple[HostId, HostId, Any]] = [
        (sender, sender, unpack(pack(message)))
    ]
    reply = None
    while queue:
        to, sender, message = queue.pop(0)
        effects = claims_by_host[to].receive(
            message, sender=sender, now=Millis(0)
        )
        reply = _entry_reply(effects) or reply
        queue += [
            (send.to, to, _encode_and_decode(send)) for send in _sends(effects)
        ]
    return reply


def _sends(effects: Iterable[Effect]) -> list[Send]:
    return [effect for effect in effects if isinstance(effect, Send)]


def _encode_and_decode(send: Send) -> Any:
    return unpack(pack(send.message))


def _entry_reply(effects: Iterable[Effect]) -> Any:
    replies = [
        unpack(pack(effect.message))
        for effect in effects
        if isinstance(effect, SendToEntries)
    ]
    return replies[0] if replies else None


class CostCommand(Command):
    """The command that measures and prints one JSON object a line."""

    name = 'run'
    description = 'Measure the costs of a claim.'

    def handle(self) -> int:
        """Measure writes at several rates, then processor time and memory."""
        for rate in CLAIM_RATES:
            self.line(json.dumps(measure_writes(rate)))
        self.line(json.dumps(measure_processor()))
        self.line(json.dumps(measure_memory()))
        return 0


def main() -> None:
    """Run the program."""
    application = Application('claim_costs')
    application.add(CostCommand())
    application.run()


if __name__ == '__main__':
    main()

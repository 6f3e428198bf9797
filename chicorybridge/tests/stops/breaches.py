"""Checks of the promises, from the records of callers and targets."""

import dataclasses
import zlib
from collections.abc import Iterator
from types import MappingProxyType

from chicorybridge.tests.stops.plans import RequestKind
from chicorybridge.tests.stops.records import (
    Exchange,
    Outcome,
    Record,
    Stop,
    TargetRun,
    payload,
)

# A complete request that waits for longer than this counts as read by the
# host. One with a shorter wait may have been sent while the host closed the
# connection.
MAX_UNREAD_S = 0.2
# A request that is answered with one of these must not have run.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
# Timeouts of the routes.
TIMEOUT_S_BY_KIND = MappingProxyType(
    {
        RequestKind.lookup: 2.0,
        RequestKind.accept: 2.0,
        RequestKind.upload: 4.0,
        RequestKind.slow: 5.0,
    }
)
# Hosts may time out this long before the timeout of the route, to have time to
# return the answer.
TIMEOUT_MARGIN_S = 0.2
# Requests that still run in this last share of the grace period may be aborted,
# if they were sent at most `MAX_SENT_AFTER_STOP_S` after the stop signal.
LAST_GRACE_SHARE = 1 / 6
MAX_SENT_AFTER_STOP_S = 3.0
UNANSWERED_OUTCOMES = frozenset(
    (Outcome.closed, Outcome.reset, Outcome.truncated, Outcome.timed_out)
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Breach:
    """A violated promise and the request or host that it concerns."""

    promise: str
    subject: str
    exchange: Exchange | None = None


def find_breaches(record: Record) -> list[Breach]:
    """Return all violated promises of a run."""
    found = [
        Breach(promise=promise, subject=exchange.request_id, exchange=exchange)
        for exchange in record.exchanges
        for promise in _check_exchange(record, exchange)
    ]
    for host, stop in record.stops_by_host.items():
        found.extend(
            Breach(promise=promise, subject=f'host {host}')
            for promise in _check_stop(record, host, stop)
        )
    return found


def _check_exchange(record: Record, exchange: Exchange) -> Iterator[str]:
    runs = record.runs_by_request_id.get(exchange.request_id, [])
    complete_runs = [run for run in runs if run.body_crc is not None]
    if exchange.outcome is Outcome.answered:
        yield from _check_answer(record, exchange, complete_runs)
    if exchange.outcome in UNANSWERED_OUTCOMES and exchange.sent_at is not None:
        yield from _check_lost_answer(record, exchange, runs)
    if len(complete_runs) > 1 and not exchange.kind.idempotent:
        yield 'a non-idempotent request runs at most once'
    sent_crc = zlib.crc32(payload(exchange.request_id, exchange.body_bytes))
    if any(run.body_crc != sent_crc for run in complete_runs):
        yield 'targets receive the body that was sent'


def _check_answer(
    record: Record, exchange: Exchange, complete_runs: list[TargetRun]
) -> Iterator[str]:
    if exchange.answer_id != exchange.request_id:
        yield 'an answer belongs to its request'
    if exchange.from_target:
        expected = payload(exchange.request_id, exchange.answer_bytes)
        if exchange.answer_crc != zlib.crc32(expected):
            yield 'an answer of a target is complete'
        return
    if exchange.status in REFUSAL_STATUSES:
        if complete_runs:
            yield 'a refused request never runs'
    elif exchange.status < 500:
        yield 'a valid request is not rejected as invalid'
    if any(run.aborted for run in complete_runs) and not _is_excused(
        record, exchange, complete_runs
    ):
        yield 'a running request is not aborted'


def _check_lost_answer(
    record: Record, exchange: Exchange, runs: list[TargetRun]
) -> Iterator[str]:
    if _is_excused(record, exchange, runs):
        return
    if runs:
        yield 'a forwarded request is answered'
    elif _waited_s(record, exchange) > MAX_UNREAD_S:
        yield 'a request that the host read is answered'


def _waited_s(record: Record, exchange: Exchange) -> float:
    """Return how long a sent request waited, without pauses of processes."""
    sent_at = exchange.sent_at or exchange.ended_at
    return _running_s(record, exchange.host, sent_at, exchange.ended_at)


def _running_s(
    record: Record, host: int, started_at: float, ended_at: float
) -> float:
    paused_s = sum(
        max(
            0, min(pause.ended_at, ended_at) - max(pause.started_at, started_at)
        )
        for pause in record.pauses
        if pause.host in {None, host}
    )
    return ended_at - started_at - paused_s


def _is_excused(
    record: Record, exchange: Exchange, runs: list[TargetRun]
) -> bool:
    """Return whether an unanswered or aborted request keeps the promises.

    It does if the connection ended after the timeout of the route, or if a
    target still ran it in the last part of the grace period.
    """
    timeout_s = TIMEOUT_S_BY_KIND[exchange.kind] - TIMEOUT_MARGIN_S
    if exchange.outcome is not Outcome.timed_out:
        if exchange.ended_at - exchange.started_at >= timeout_s:
            return True
    stop = record.stops_by_host.get(exchange.host)
    if stop is None or exchange.sent_at is None:
        return False
    last_part_at = stop.signalled_at + record.grace_s * (1 - LAST_GRACE_SHARE)
    return (
        exchange.sent_at <= stop.signalled_at + MAX_SENT_AFTER_STOP_S
        and any(
            run.ended_at is None or run.ended_at >= last_part_at for run in runs
        )
    )


def _check_stop(record: Record, host: int, stop: Stop) -> Iterator[str]:
    if stop.exited_at is None:
        yield 'a host exits after a stop'
        return
    running_s = _running_s(record, host, stop.signalled_at, stop.exited_at)
    if running_s > record.grace_s:
        yield 'a host exits within its grace period'
    if stop.exit_status:
        yield 'a host exits with status 0'

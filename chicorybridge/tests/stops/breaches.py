"""Which promises a run broke, by what callers and targets saw."""

import dataclasses
import zlib
from collections.abc import Iterator
from types import MappingProxyType

from chicorybridge.tests.stops.plans import Kind
from chicorybridge.tests.stops.records import (
    Ending,
    Record,
    Stop,
    Story,
    TargetRun,
    payload,
)

LOSS_SLACK_S = 0.2
# Requests with this status never run.
PROMISES = frozenset((408, 421, 429, 503))
# Routes' timeouts, less what a host keeps for the way back.
TIMEOUT_S_BY_KIND = MappingProxyType(
    {
        Kind.lookup: 2.0,
        Kind.accept: 2.0,
        Kind.upload: 4.0,
        Kind.slow: 5.0,
    }
)
TIMEOUT_MARGIN_S = 0.2
# Targets still at work in the last part of the grace may be broken off.
LAST_PART = 1 / 6
LATE_S = 3.0
CUT = frozenset((Ending.closed, Ending.reset, Ending.cut, Ending.silent))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Breach:
    """A broken promise, and the request or the host that it concerns."""

    promise: str
    subject: str
    story: Story | None = None


def breaches(record: Record) -> list[Breach]:
    """Return every broken promise of a run."""
    found = [
        Breach(promise=promise, subject=story.request_id, story=story)
        for story in record.stories
        for promise in _broken(record, story)
    ]
    for host, stop in record.stops_by_host.items():
        found.extend(
            Breach(promise=promise, subject=f'host {host}')
            for promise in _broken_by_stop(record, host, stop)
        )
    return found


def _broken(record: Record, story: Story) -> Iterator[str]:
    runs = record.runs_by_id.get(story.request_id, [])
    ran = [run for run in runs if run.body_crc is not None]
    if story.ending is Ending.answered:
        yield from _broken_by_answer(record, story, ran)
    if story.ending in CUT and story.sent_at is not None:
        yield from _broken_by_cut(record, story, runs)
    if len(ran) > 1 and not story.kind.repeatable:
        yield 'runs at most once'
    sent_crc = zlib.crc32(payload(story.request_id, story.body_bytes))
    if any(run.body_crc != sent_crc for run in ran):
        yield 'targets get the body that was sent'


def _broken_by_answer(
    record: Record, story: Story, ran: list[TargetRun]
) -> Iterator[str]:
    if story.answered_id != story.request_id:
        yield 'an answer belongs to its request'
    if story.signed:
        expected = payload(story.request_id, story.answer_bytes)
        if story.answer_crc != zlib.crc32(expected):
            yield 'an answer is whole'
        return
    if story.status in PROMISES:
        if ran:
            yield 'a refused request never runs'
    elif story.status < 500:
        yield 'a proper request is not denied'
    if any(run.cut for run in ran) and not _is_excused(record, story, ran):
        yield 'a target at work is not broken off'


def _broken_by_cut(
    record: Record, story: Story, runs: list[TargetRun]
) -> Iterator[str]:
    if _is_excused(record, story, runs):
        return
    if runs:
        yield 'a request that was passed on is answered'
    elif _held_s(record, story) > LOSS_SLACK_S:
        yield 'a request that was read is answered'


def _held_s(record: Record, story: Story) -> float:
    """Return how long a host had a request, while all processes ran."""
    sent_at = story.sent_at or story.ended_at
    return _lasted_s(record, story.host, sent_at, story.ended_at)


def _lasted_s(
    record: Record, host: int, began_at: float, ended_at: float
) -> float:
    missed_s = sum(
        max(0, min(pause.ended_at, ended_at) - max(pause.began_at, began_at))
        for pause in record.pauses
        if pause.host in {None, host}
    )
    return ended_at - began_at - missed_s


def _is_excused(record: Record, story: Story, runs: list[TargetRun]) -> bool:
    timeout_s = TIMEOUT_S_BY_KIND[story.kind] - TIMEOUT_MARGIN_S
    if story.ending is not Ending.silent:
        if story.ended_at - story.began_at >= timeout_s:
            return True
    stop = record.stops_by_host.get(story.host)
    if stop is None or story.sent_at is None:
        return False
    last_part_at = stop.told_at + record.grace_s * (1 - LAST_PART)
    return story.sent_at <= stop.told_at + LATE_S and any(
        run.ended_at is None or run.ended_at >= last_part_at for run in runs
    )


def _broken_by_stop(record: Record, host: int, stop: Stop) -> Iterator[str]:
    if stop.exited_at is None:
        yield 'a host exits after a stop'
        return
    lasted_s = _lasted_s(record, host, stop.told_at, stop.exited_at)
    if lasted_s > record.grace_s:
        yield 'a host exits within the grace'
    if stop.status:
        yield 'a host exits without an error'

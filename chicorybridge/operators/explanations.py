"""The story of one request, from the logs of any number of hosts."""

import dataclasses
import json
from collections.abc import Iterable, Iterator
from typing import Any

from chicorybridge import settings

Record = dict[str, Any]

# What the first bytes of a record are; a line may have a prefix.
RECORD_START = '{"'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Story:
    """Records of a request, and of its targets on the same hosts before it.

    `unreadable` counts the lines that hold no record.
    """

    records: tuple[Record, ...]
    beliefs: tuple[Record, ...]
    unreadable: int


def read_records(lines: Iterable[str]) -> Iterator[Record | None]:
    """Yield the record of each line, `None` for a line without one."""
    for line in lines:
        start = line.find(RECORD_START)
        try:
            record = json.loads(line[max(start, 0) :])
        except ValueError:
            yield None
            continue
        yield record if isinstance(record, dict) else None


def explain(request_id: str, lines: Iterable[str]) -> Story:
    """Gather what the lines tell of a request."""
    records: list[Record] = []
    unreadable = 0
    for record in read_records(lines):
        if record is None:
            unreadable += 1
        elif 'event' in record:
            records.append(record)
    own = [one for one in records if one.get('request') == request_id]
    return Story(
        records=tuple(sorted(own, key=_order)),
        beliefs=tuple(sorted(_beliefs(own, records), key=_order)),
        unreadable=unreadable,
    )


def one_line(record: Record) -> str:
    """Return a record as one line for people."""
    left_out = {'number', 'at_ms', 'host', 'event', 'request'}
    left_out |= {'logical_time', 'process', 'incarnation'}
    facts = ' '.join(
        f'{key}={content}'
        for key, content in record.items()
        if key not in left_out
    )
    place = ' '.join(
        str(record.get(key, '')) for key in ('at_ms', 'host', 'event')
    )
    return f'{place} {facts}'


def _beliefs(own: list[Record], records: list[Record]) -> Iterator[Record]:
    """Yield what the same hosts learned of the targets shortly before."""
    if not own:
        return
    places = {
        (record['host'], record['target'])
        for record in own
        if 'target' in record
    }
    until = max(record['at_ms'] for record in own)
    since = (
        min(record['at_ms'] for record in own) - settings.EXPLANATION_WINDOW_MS
    )
    for record in records:
        place = (record.get('host'), record.get('target'))
        if place in places and since <= record['at_ms'] <= until:
            if record not in own:
                yield record


def _order(record: Record) -> tuple[int, int]:
    return (record['at_ms'], record.get('logical_time', 0))

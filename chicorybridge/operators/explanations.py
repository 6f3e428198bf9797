"""Log records that explain the outcome of one request.

The logs may come from any number of hosts.
"""

import dataclasses
import json
from collections.abc import Iterable, Iterator
from typing import Any

from chicorybridge import settings

Record = dict[str, Any]

# A record is a JSON object; other text may precede it on the line.
RECORD_START = '{"'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Records of a request and of the targets that it was sent to.

    `target_records` are records of the same hosts about these targets,
    from shortly before the request until its end. `unreadable_lines` is
    the number of lines without a record. Records are sorted by time.
    """

    records: tuple[Record, ...]
    target_records: tuple[Record, ...]
    unreadable_lines: int


def read_records(lines: Iterable[str]) -> Iterator[Record | None]:
    """Yield the record of each line, or `None` for a line without one."""
    for line in lines:
        start = line.find(RECORD_START)
        try:
            record = json.loads(line[max(start, 0) :])
        except ValueError:
            yield None
            continue
        yield record if isinstance(record, dict) else None


def explain(request_id: str, lines: Iterable[str]) -> Explanation:
    """Return the records of a request and of its targets from log lines."""
    records: list[Record] = []
    unreadable_lines = 0
    for record in read_records(lines):
        if record is None:
            unreadable_lines += 1
        elif 'event' in record:
            records.append(record)
    request_records = [
        candidate
        for candidate in records
        if candidate.get('request') == request_id
    ]
    return Explanation(
        records=tuple(sorted(request_records, key=_sort_key)),
        target_records=tuple(
            sorted(_target_records(request_records, records), key=_sort_key)
        ),
        unreadable_lines=unreadable_lines,
    )


def format_record(record: Record) -> str:
    """Return a record as one line of text for operators."""
    omitted_keys = {'number', 'at_ms', 'host', 'event', 'request'}
    omitted_keys |= {'logical_time', 'process', 'incarnation'}
    facts = ' '.join(
        f'{key}={content}'
        for key, content in record.items()
        if key not in omitted_keys
    )
    prefix = ' '.join(
        str(record.get(key, '')) for key in ('at_ms', 'host', 'event')
    )
    return f'{prefix} {facts}'


def _target_records(
    request_records: list[Record], records: list[Record]
) -> Iterator[Record]:
    """Yield the records of the same hosts about the targets of a request.

    They are from `EXPLANATION_WINDOW_MS` before its first record to its last.
    """
    if not request_records:
        return
    host_targets = {
        (record['host'], record['target'])
        for record in request_records
        if 'target' in record
    }
    end = max(record['at_ms'] for record in request_records)
    start = (
        min(record['at_ms'] for record in request_records)
        - settings.EXPLANATION_WINDOW_MS
    )
    for record in records:
        named = {
            (record.get('host'), target_id)
            for target_id in (record.get('target'), *record.get('targets', ()))
        }
        if named & host_targets and start <= record['at_ms'] <= end:
            if record not in request_records:
                yield record


def _sort_key(record: Record) -> tuple[int, int]:
    return (record['at_ms'], record.get('logical_time', 0))

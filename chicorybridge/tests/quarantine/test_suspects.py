"""Tests of which requests are blamed for crashes of targets."""

import dataclasses

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Digest, TargetId
from chicorybridge.quarantine.crash_evidence import CrashedRun
from chicorybridge.quarantine.crash_reports import CrashSuspected, Victim
from chicorybridge.quarantine.suspects import SuspectTable

NOW = Millis(1000)
CRASHED_TOGETHER = ('123', '456', '789', 'ABC', 'DEF', 'GHI')


def _table(victims_by_digest):
    table = SuspectTable()
    for digest, victims in victims_by_digest.items():
        for target in victims:
            table.add(_crash_report(digest, target), now=NOW)
    return table


def _crash_report(digest, target, crash_number=0):
    victim = Victim(target_id=TargetId(target), crash_number=crash_number)
    return CrashSuspected(digest=Digest(digest), victim=victim)


def _blamed(table, *digests):
    return {
        digest for digest in digests if table.is_blamed(Digest(digest), now=NOW)
    }


@pytest.mark.parametrize(
    ('victims_by_digest', 'blamed'),
    [
        # A single crash is not enough.
        ({'a': '1', 'b': '1'}, set()),
        # In flight at both crashes, unlike any other request.
        ({'a': '12', 'b': '1', 'c': '2'}, {'a'}),
        # Two requests in flight at both crashes: a third crash decides.
        ({'a': '12', 'b': '12'}, set()),
        ({'a': '123', 'b': '12'}, {'a'}),
        # Two targets crashed without request `a`, as many as with it.
        ({'a': '12', 'b': '3', 'c': '4'}, set()),
        # A whole zone fails twice with many requests in flight.
        (dict.fromkeys('abcdefgh', '12'), set()),
        # Three times: each of them would go on to crash targets.
        (dict.fromkeys('abcdefgh', '123'), set('abcdefgh')),
        # Several requests crash targets, each others.
        (dict(zip('abcdef', CRASHED_TOGETHER, strict=True)), set('abcdef')),
        # Many targets crash without `a`: two crashes of it are chance.
        ({'a': '12', **{one: one for one in 'ABCDEFGHIJKLMNO'}}, set()),
        # Three are not, however many others crash.
        ({'a': '123', **{one: one for one in 'ABCDEFGHIJKLMNO'}}, {'a'}),
    ],
)
def test_blame_needs_crashes_without_another_explanation(
    victims_by_digest, blamed
):
    """A request that was in flight by chance is not refused."""
    table = _table(victims_by_digest)
    assert _blamed(table, *victims_by_digest) == blamed


def test_answered_request_stays_cleared():
    """Late copies of a report do not make the request suspect again."""
    table = _table({'a': '12'})
    assert table.clear(Digest('a'), now=NOW)
    assert not table.clear(Digest('a'), now=NOW)
    assert not table.add(_crash_report('a', '1'), now=NOW)
    assert not _blamed(table, 'a')


def test_later_crash_of_the_same_target_counts_again():
    """This protects services with a single target, too."""
    table = _table({'a': '1'})
    target_id = TargetId('1')
    overlapping = CrashedRun(
        digest=Digest('a'), target_id=target_id, started_at=NOW
    )
    assert table.next_victim(overlapping).crash_number == 0
    later = dataclasses.replace(overlapping, started_at=Millis(NOW + 1))
    again = table.next_victim(later)
    table.add(CrashSuspected(digest=Digest('a'), victim=again), now=NOW)
    assert _blamed(table, 'a') == {'a'}


def test_suspects_expire():
    """Reports expire after `SUSPECT_TTL_MS`."""
    table = _table({'a': '12'})
    table.expire(now=Millis(NOW + settings.SUSPECT_TTL_MS - 1))
    assert 'a' in table
    table.expire(now=Millis(NOW + settings.SUSPECT_TTL_MS))
    assert 'a' not in table
    assert not table.victims_of(Digest('a'))


def test_table_is_bounded():
    """The oldest reports are dropped beyond `MAX_SUSPECT_REPORTS`."""
    table = SuspectTable()
    for number in range(settings.MAX_SUSPECT_REPORTS + 5):
        table.add(_crash_report(str(number), '1'), now=NOW)
    assert len(table) == settings.MAX_SUSPECT_REPORTS
    assert '0' not in table

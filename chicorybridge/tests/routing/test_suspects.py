"""Tests of which requests are blamed for the death of targets."""

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Digest, TargetId
from chicorybridge.routing.suspects import CrashSuspected, SuspectTable, Victim

NOW = Millis(1000)


def _table(victims_by_digest):
    table = SuspectTable()
    for digest, victims in victims_by_digest.items():
        for target in victims:
            table.add(_suspected(digest, target), now=NOW)
    return table


def _suspected(digest, target, turn=0):
    victim = Victim(target_id=TargetId(target), turn=turn)
    return CrashSuspected(digest=Digest(digest), victim=victim)


def _blamed(table, *digests):
    return {
        digest
        for digest in digests
        if table.is_to_blame(Digest(digest), now=NOW)
    }


@pytest.mark.parametrize(
    ('victims_by_digest', 'blamed'),
    [
        # One death says nothing.
        ({'a': '1', 'b': '1'}, set()),
        # There at both deaths, and nobody else was.
        ({'a': '12', 'b': '1', 'c': '2'}, {'a'}),
        # Two that were there both times: a third death decides.
        ({'a': '12', 'b': '12'}, set()),
        ({'a': '123', 'b': '12'}, {'a'}),
        # As many targets died without it.
        ({'a': '12', 'b': '3', 'c': '4'}, set()),
        # A zone went down under many requests, thrice.
        (dict.fromkeys('abcdefgh', '123'), set()),
        # Targets die all over: three deaths are chance.
        ({'a': '123', **{one: one for one in 'ABCDEFGHIJKLMNO'}}, set()),
    ],
)
def test_blame_needs_deaths_that_nothing_else_explains(
    victims_by_digest, blamed
):
    """Who was there by chance is not refused."""
    table = _table(victims_by_digest)
    assert _blamed(table, *victims_by_digest) == blamed


def test_answered_request_is_cleared_for_good():
    """Late copies of a report do not make it suspect again."""
    table = _table({'a': '12'})
    assert table.clear(Digest('a'))
    assert not table.clear(Digest('a'))
    assert not table.add(_suspected('a', '1'), now=NOW)
    assert not _blamed(table, 'a')


def test_only_target_that_dies_again_counts_again():
    """A service of one target is protected, too."""
    table = _table({'a': '1'})
    target_id = TargetId('1')
    at_once = table.next_victim(Digest('a'), target_id, now=NOW)
    assert at_once.turn == 0
    later = Millis(NOW + settings.CRASH_DEDUPLICATION_MS + 1)
    again = table.next_victim(Digest('a'), target_id, now=later)
    table.add(CrashSuspected(digest=Digest('a'), victim=again), now=NOW)
    assert _blamed(table, 'a') == {'a'}


def test_suspects_expire():
    """After a while nothing is held against a request."""
    table = _table({'a': '12'})
    table.expire(now=Millis(NOW + settings.SUSPECT_TTL_MS - 1))
    assert 'a' in table
    table.expire(now=Millis(NOW + settings.SUSPECT_TTL_MS))
    assert 'a' not in table
    assert not table.victims_of(Digest('a'))


def test_table_is_bounded():
    """The oldest give way."""
    table = SuspectTable()
    for number in range(settings.MAX_SUSPECT_REPORTS + 5):
        table.add(_suspected(str(number), '1'), now=NOW)
    assert len(table) == settings.MAX_SUSPECT_REPORTS
    assert '0' not in table

"""Merging of target entries that arrive in any order."""

import itertools

import pytest

from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.fleet.directories import (
    TargetDirectory,
    TargetEntry,
    TargetsChanged,
)

TARGET_ID = TargetId('i-1')


def _entry(row_version: int, *, leaving: bool = False) -> TargetEntry:
    return TargetEntry(
        target_id=TARGET_ID,
        row_version=row_version,
        service_id=ServiceId('quotes'),
        address='127.0.0.1:1',
        zone_id=ZoneId('groningen'),
        slots=6,
        leaving=leaving,
        warming=False,
        started_at_ms=1,
    )


def _change(version: int, *entries: TargetEntry, removed=()) -> TargetsChanged:
    return TargetsChanged(
        store_version=version, entries=entries, removed=tuple(removed)
    )


CHANGES = (
    _change(3, _entry(3)),
    _change(5, _entry(5, leaving=True)),
    _change(8, removed=[TARGET_ID]),
)


@pytest.mark.parametrize('order', tuple(itertools.permutations(CHANGES)))
def test_removed_target_stays_removed_in_any_order(order):
    directory = TargetDirectory()
    for change in order:
        directory.merge(change)
    assert not directory.entries_by_id


@pytest.mark.parametrize('order', tuple(itertools.permutations(CHANGES[:2])))
def test_newest_entry_wins_in_any_order(order):
    directory = TargetDirectory()
    for change in order:
        directory.merge(change)
    assert directory.entries_by_id[TARGET_ID].leaving


def test_entry_written_after_removal_is_listed_again():
    directory = TargetDirectory()
    directory.merge(CHANGES[2])
    directory.merge(_change(9, _entry(9)))
    assert TARGET_ID in directory.entries_by_id


def test_row_rewritten_with_the_same_data_is_no_change():
    directory = TargetDirectory()
    directory.merge(_change(3, _entry(3)))
    digest = directory.digest
    assert not directory.merge(_change(4, _entry(4)))
    assert directory.digest == digest


def test_digests_are_equal_for_equal_contents():
    first, second = TargetDirectory(), TargetDirectory()
    first.merge(_change(3, _entry(3)))
    second.merge(_change(6, _entry(6)))
    assert first.digest == second.digest


def test_target_missing_from_newer_state_is_removed():
    directory = TargetDirectory()
    directory.merge(CHANGES[0])
    directory.merge(directory.diff(_change(9)))
    assert not directory.entries_by_id


def test_target_missing_from_older_state_is_kept():
    directory = TargetDirectory()
    directory.merge(CHANGES[1])
    directory.merge(directory.diff(_change(4)))
    assert TARGET_ID in directory.entries_by_id

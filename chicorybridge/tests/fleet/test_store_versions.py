"""Tests of the order of versions over eras of the store."""

import dataclasses

import pytest

from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.fleet.directories import (
    TargetDirectory,
    TargetEntry,
    TargetsChanged,
)
from chicorybridge.fleet.store_versions import (
    NO_VERSION,
    era_of,
    number_of,
    version_in_era,
)

ENTRY = TargetEntry(
    target_id=TargetId('i-1'),
    row_version=version_in_era(era=1, number=100),
    service_id=ServiceId('quotes'),
    address='127.0.0.1:1',
    zone_id=ZoneId('a'),
    slots=6,
    leaving=False,
    warming=False,
    started_at_ms=1,
)


@pytest.mark.parametrize(
    ('era', 'number'), [(0, 0), (0, 7), (3, 0), (3, 2**40)]
)
def test_version_has_its_era_and_number(era, number):
    version = version_in_era(era=era, number=number)
    assert (era_of(version), number_of(version)) == (era, number)


def test_versions_are_ordered_by_era_first():
    versions = [
        version_in_era(era=era, number=number)
        for era, number in ((0, 120), (1, 100), (1, 130), (2, 90))
    ]
    assert versions == sorted(versions)
    assert NO_VERSION < versions[0]


def _change(entry: TargetEntry, version: int) -> TargetsChanged:
    return TargetsChanged(store_version=version, entries=(entry,))


def test_host_of_an_older_build_does_not_change_entries_of_a_later_era():
    """It knows no eras, and sends the numbers of the store."""
    directory = TargetDirectory()
    directory.merge(_change(ENTRY, ENTRY.row_version))
    stale = dataclasses.replace(ENTRY, row_version=125, address='127.0.0.1:2')
    assert not directory.merge(_change(stale, 130))
    removal = TargetsChanged(store_version=130, removed=(ENTRY.target_id,))
    assert not directory.merge(removal)
    assert directory.entries_by_id == {ENTRY.target_id: ENTRY}


@pytest.mark.parametrize('is_listed', [True, False])
def test_target_that_a_copy_lists_again_gets_no_work(is_listed):
    """It had left, or was gone, before the store came back from the copy."""
    directory = TargetDirectory()
    left = dataclasses.replace(ENTRY, leaving=True)
    directory.merge(_change(left, left.row_version))
    if not is_listed:
        removed_at = left.row_version + 1
        directory.merge(
            TargetsChanged(store_version=removed_at, removed=(left.target_id,))
        )
    copied_version = version_in_era(era=2, number=90)
    copied = dataclasses.replace(ENTRY, row_version=copied_version)
    # Another host that knew nothing of it tells the same later.
    for version in (copied_version, copied_version + 5):
        directory.merge(_change(copied, version))
        assert directory.entries_by_id[ENTRY.target_id].leaving
    written = dataclasses.replace(copied, row_version=copied_version + 9)
    directory.merge(_change(written, written.row_version))
    assert not directory.entries_by_id[ENTRY.target_id].leaving


@pytest.mark.parametrize(
    ('era', 'number', 'leaving'),
    [(2, 99, True), (2, 100, False), (2, 101, False), (3, 150, True)],
)
def test_entry_that_no_copy_can_list_takes_effect_at_once(era, number, leaving):
    """The number 100 of era 1 is that of the entry that says it leaves."""
    directory = TargetDirectory()
    left = dataclasses.replace(ENTRY, leaving=True)
    directory.merge(_change(left, left.row_version))
    version = version_in_era(era=era, number=number)
    ready = dataclasses.replace(ENTRY, row_version=version)
    directory.merge(_change(ready, version))
    assert directory.entries_by_id[ENTRY.target_id].leaving is leaving


def test_target_that_left_twice_is_compared_with_its_last_entry():
    """The copy may list it as it was between the two."""
    directory = TargetDirectory()
    for number, leaving in ((100, True), (105, False), (110, True)):
        version = version_in_era(era=1, number=number)
        entry = dataclasses.replace(ENTRY, row_version=version, leaving=leaving)
        directory.merge(_change(entry, version))
    copied_version = version_in_era(era=2, number=105)
    copied = dataclasses.replace(ENTRY, row_version=copied_version)
    directory.merge(_change(copied, copied_version))
    assert directory.entries_by_id[ENTRY.target_id].leaving


def test_copy_of_an_era_before_the_last_lists_no_target_again():
    directory = TargetDirectory()
    earlier = version_in_era(era=0, number=120)
    directory.merge(
        _change(dataclasses.replace(ENTRY, row_version=90), earlier)
    )
    left = dataclasses.replace(ENTRY, leaving=True)
    directory.merge(_change(left, left.row_version))
    copied_version = version_in_era(era=2, number=115)
    copied = dataclasses.replace(ENTRY, row_version=copied_version)
    directory.merge(_change(copied, copied_version))
    assert directory.entries_by_id[ENTRY.target_id].leaving


def test_target_that_a_copy_lacks_is_used_once_it_is_written():
    directory = TargetDirectory()
    directory.merge(_change(ENTRY, ENTRY.row_version))
    copied_version = version_in_era(era=2, number=50)
    directory.merge(
        TargetsChanged(store_version=copied_version, removed=(ENTRY.target_id,))
    )
    written = dataclasses.replace(ENTRY, row_version=copied_version + 1)
    directory.merge(_change(written, written.row_version))
    assert not directory.entries_by_id[ENTRY.target_id].leaving

"""Tests of differences between declarations."""

import dataclasses

from chicorybridge.configuration.deltas import apply_delta, make_delta
from chicorybridge.tools.models.synthetics import make_small


def test_difference_rebuilds_the_declaration():
    """Changed, added and removed entities come out alike."""
    before = make_small('before', targets=40, routes=5)
    after = make_small('after', targets=30, routes=9)
    services_by_id = {
        service_id: dataclasses.replace(service, floor=0.9)
        for service_id, service in after.services_by_id.items()
    }
    after = dataclasses.replace(after, services_by_id=services_by_id)
    rebuilt = apply_delta(before, make_delta(before, after))
    assert rebuilt.digest == after.digest


def test_difference_of_one_entity_is_small():
    """A single change costs little, whatever the size of the whole."""
    before = make_small('before', targets=2000)
    after = make_small('after', targets=2001)
    assert len(make_delta(before, after)) < len(after.body) / 100

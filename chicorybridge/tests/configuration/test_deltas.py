"""Tests of deltas between declarations."""

import dataclasses

from chicorybridge.configuration.deltas import apply_delta, make_delta
from chicorybridge.tools.models.synthetics import make_small_declaration


def test_delta_rebuilds_the_declaration():
    """A delta carries changed, added and removed entities."""
    before = make_small_declaration('before', targets=40, routes=5)
    after = make_small_declaration('after', targets=30, routes=9)
    services_by_id = {
        service_id: dataclasses.replace(service, floor=0.9)
        for service_id, service in after.services_by_id.items()
    }
    after = dataclasses.replace(after, services_by_id=services_by_id)
    rebuilt = apply_delta(before, make_delta(before, after))
    assert rebuilt.digest == after.digest


def test_delta_of_one_entity_is_small():
    """The delta of one added entity is far smaller than the declaration."""
    before = make_small_declaration('before', targets=2000)
    after = make_small_declaration('after', targets=2001)
    assert len(make_delta(before, after)) < len(after.body) / 100

"""Tests of the measured costs of control processes."""

import dataclasses

from chicorybridge.tools.measurements.control_costs import (
    SMALL_SIZES,
    ControlFleet,
    Load,
)
from chicorybridge.tools.models.synthetics import make_declaration


def _cost(load):
    fleet = ControlFleet(hosts=3, declaration=make_declaration(SMALL_SIZES))
    return fleet.measure_cost(load=load)


def test_evidence_adds_messages_and_bytes():
    """A host that reports on targets sends more than an idle one."""
    idle, busy = _cost(Load()), _cost(Load(reported=10))
    assert all(amount >= 0 for amount in dataclasses.astuple(idle))
    assert busy.messages > idle.messages
    assert busy.bytes_sent > idle.bytes_sent


def test_failing_targets_are_announced_to_all_hosts():
    """Ejections cost messages to every host."""
    idle, failing = _cost(Load()), _cost(Load(failing=4))
    assert failing.bytes_sent > idle.bytes_sent

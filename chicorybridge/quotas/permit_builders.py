"""Builds the permits of a host."""

import functools
import random

from chicorybridge.common.clocks import Clock
from chicorybridge.common.identities import WorkspaceId
from chicorybridge.fleet.host_tables import HostTable
from chicorybridge.hosts.states import HostState
from chicorybridge.quotas.askers import Asker
from chicorybridge.quotas.granters import Granter
from chicorybridge.quotas.keys import CallerWorkspace, KeyTable
from chicorybridge.quotas.members import Members
from chicorybridge.quotas.permits import Permits


def build_permits(
    *,
    clock: Clock,
    rng: random.Random,
    state: HostState,
    host_table: HostTable,
    is_first_start: bool,
) -> Permits:
    """Return the permits of a host; its bounds are set later."""
    members = Members(host_table=host_table, is_serving=lambda: state.ready)
    return Permits(
        clock=clock,
        rng=rng,
        asker=Asker(members=members),
        granter=Granter(
            members=members,
            find_workspace=functools.partial(_find, state),
            zones=len(host_table.regions_by_zone),
            is_first_start=is_first_start,
            now=clock.now(),
        ),
        is_used=lambda: _keys(state) is not None,
    )


def _keys(state: HostState) -> KeyTable | None:
    configuration = state.configuration
    return None if configuration is None else configuration.keys


def _find(
    state: HostState, workspace_id: WorkspaceId
) -> CallerWorkspace | None:
    keys = _keys(state)
    return None if keys is None else keys.by_id(workspace_id)

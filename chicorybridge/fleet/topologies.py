"""Selection of the peers with which a host exchanges heartbeats.

Small fleets form a full mesh. In larger fleets the hosts of each zone form
a ring with additional chords, and a few bridge hosts per zone connect to
the bridge hosts of all other zones. Hosts that know the same fleet compute
the same topology, so that each selected peer also selects this host.
"""

from collections.abc import Iterable

import xxhash

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.profiles import HostProfile

# Ring distances at which a host has neighbors, in both directions.
CHORD_STEPS = (1, 2, 7, 25, 80)


def is_full_mesh(hosts: int) -> bool:
    """Return whether a fleet of `hosts` hosts forms a full mesh."""
    return hosts <= settings.MAX_FULL_MESH_HOSTS


def select_peers(
    own: HostProfile,
    profiles: Iterable[HostProfile],
    unprofiled: Iterable[HostId],
) -> set[HostId]:
    """Return the peers of `own` among all known hosts.

    `unprofiled` are hosts that only the platform's list names, without
    their zone. A few of them are contacted, and send the profiles of the
    others.
    """
    rings: dict[str, list[HostId]] = {own.zone_id: [own.host_id]}
    for profile in profiles:
        rings.setdefault(profile.zone_id, []).append(profile.host_id)
    for ring in rings.values():
        ring.sort(key=_ring_key)
    home_ring = rings.pop(own.zone_id)
    selected = _chord_neighbors(home_ring, own.host_id)
    if own.host_id in home_ring[: settings.BRIDGES_PER_ZONE]:
        for ring in rings.values():
            selected.update(ring[: settings.BRIDGES_PER_ZONE])
    unprofiled_ring = sorted([own.host_id, *unprofiled], key=_ring_key)
    return selected | _chord_neighbors(unprofiled_ring, own.host_id)


def _chord_neighbors(ring: list[HostId], own: HostId) -> set[HostId]:
    position = ring.index(own)
    neighbors = (
        ring[(position + step) % len(ring)]
        for chord in CHORD_STEPS
        for step in (chord, -chord)
    )
    return {host_id for host_id in neighbors if host_id != own}


def _ring_key(host_id: HostId) -> int:
    return xxhash.xxh64_intdigest(host_id.encode())

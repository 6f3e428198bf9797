"""Which peers a host exchanges heartbeats with.

Small fleets are a full mesh. In large ones the hosts of a zone form a
ring with long chords, and a few bridges of each zone link to those of
all other zones. All hosts that know the same fleet choose alike, so that
the choice is mutual.
"""

from collections.abc import Iterable

import xxhash

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.profiles import HostProfile

# Distances on the ring of a zone, both ways.
CHORD_STEPS = (1, 2, 7, 25, 80)


def is_full_mesh(hosts: int) -> bool:
    """Return whether a fleet of that many hosts is a full mesh."""
    return hosts <= settings.MESH_HOSTS


def select_peers(
    own: HostProfile,
    profiles: Iterable[HostProfile],
    unprofiled: Iterable[HostId],
) -> set[HostId]:
    """Choose peers among known hosts and among `strangers`.

    Strangers are hosts known by the platform's list only; a few are
    greeted, and tell of the others.
    """
    rings: dict[str, list[HostId]] = {own.zone_id: [own.host_id]}
    for profile in profiles:
        rings.setdefault(profile.zone_id, []).append(profile.host_id)
    for ring in rings.values():
        ring.sort(key=_ring_key)
    home_ring = rings.pop(own.zone_id)
    selected = _chord_neighbors(home_ring, own.host_id)
    if own.host_id in home_ring[: settings.BRIDGES]:
        for ring in rings.values():
            selected.update(ring[: settings.BRIDGES])
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

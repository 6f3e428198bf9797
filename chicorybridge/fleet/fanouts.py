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
CHORDS = (1, 2, 7, 25, 80)


def is_mesh(hosts: int) -> bool:
    """Return whether a fleet of that many hosts is a full mesh."""
    return hosts <= settings.MESH_HOSTS


def chosen_peers(
    own: HostProfile,
    profiles: Iterable[HostProfile],
    strangers: Iterable[HostId],
) -> set[HostId]:
    """Choose peers among known hosts and among `strangers`.

    Strangers are hosts known by the platform's list only; a few are
    greeted, and tell of the others.
    """
    rings: dict[str, list[HostId]] = {own.zone_id: [own.host_id]}
    for profile in profiles:
        rings.setdefault(profile.zone_id, []).append(profile.host_id)
    for ring in rings.values():
        ring.sort(key=_place)
    home = rings.pop(own.zone_id)
    chosen = _chords(home, own.host_id)
    if own.host_id in home[: settings.BRIDGES]:
        for ring in rings.values():
            chosen.update(ring[: settings.BRIDGES])
    unknown = sorted([own.host_id, *strangers], key=_place)
    return chosen | _chords(unknown, own.host_id)


def _chords(ring: list[HostId], own: HostId) -> set[HostId]:
    place = ring.index(own)
    ends = (
        ring[(place + step) % len(ring)]
        for chord in CHORDS
        for step in (chord, -chord)
    )
    return {host_id for host_id in ends if host_id != own}


def _place(host_id: HostId) -> int:
    return xxhash.xxh64_intdigest(host_id.encode())

"""Types of ids that are the same in all processes."""

import secrets
from typing import NewType

INCARNATION_BITS = 63

HostId = NewType('HostId', str)
TargetId = NewType('TargetId', str)
ServiceId = NewType('ServiceId', str)
PoolId = NewType('PoolId', str)
RouteId = NewType('RouteId', str)
WorkspaceId = NewType('WorkspaceId', str)
ZoneId = NewType('ZoneId', str)
RegionId = NewType('RegionId', str)
ApplyId = NewType('ApplyId', str)
PermitId = NewType('PermitId', str)

# Hexadecimal SHA-256 digest of a body.
Digest = NewType('Digest', str)

# Value of the Idempotency-Key header.
RequestKey = NewType('RequestKey', str)

# Random 63-bit number, drawn at every start of a process.
Incarnation = NewType('Incarnation', int)

# Number of a version of the configuration, from 1; 0 means none.
Version = NewType('Version', int)

NO_VERSION = Version(0)


def draw_incarnation() -> Incarnation:
    """Return a random incarnation for a process that starts."""
    return Incarnation(secrets.randbits(INCARNATION_BITS))

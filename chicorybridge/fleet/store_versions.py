"""Versions of the store, in the order (era, number).

A store that comes back from an older copy gives out numbers again, and
starts a new era. Both are in one integer, so that versions are compared as
integers everywhere, also by hosts of a build that knows no eras: to them a
version of a later era is newer than all of their own.
"""

ERA_BITS = 48

# Of a host that has read nothing; below all versions of the store.
NO_VERSION = -1


def version_in_era(*, era: int, number: int) -> int:
    """Return the version with a number that the store gave in an era."""
    return (era << ERA_BITS) + number


def era_of(version: int) -> int:
    """Return the era of a version, -1 for `NO_VERSION`."""
    return version >> ERA_BITS


def number_of(version: int) -> int:
    """Return the number by which the store knows a version of its era."""
    return version - (era_of(version) << ERA_BITS)

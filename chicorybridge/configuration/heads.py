"""The head of the configuration in the platform's table service.

The row `head` is written once per version, so its own version is the
version of the configuration. Each version has a row of its own besides,
by which an unanswered write is settled.
"""

from chicorybridge import settings
from chicorybridge.common.identities import NO_VERSION, ApplyId, Digest, Version
from chicorybridge.configuration.versions import HeadVersion
from chicorybridge.storage.stores import (
    Condition,
    ReadRows,
    Row,
    RowKey,
    Transact,
    Write,
)

TABLE = 'configuration'
HEAD_KEY = RowKey(table=TABLE, key='head')


def read_head() -> ReadRows:
    """Ask for the newest version."""
    return ReadRows(row_keys=(HEAD_KEY,))


def read_version(version: Version) -> ReadRows:
    """Ask for the newest version and for one by its number."""
    return ReadRows(row_keys=(HEAD_KEY, version_key(version)))


def write_version(head: HeadVersion) -> Transact:
    """Make `head` the newest version if the one before it is newest."""
    body = {
        'version': head.version,
        'digest': head.digest,
        'apply_id': head.apply_id,
    }
    dropped = Version(head.version - settings.KEPT_VERSIONS)
    return Transact(
        conditions=(Condition(row_key=HEAD_KEY, version=head.version - 1),),
        writes=(
            Write(row_key=HEAD_KEY, body=body),
            Write(row_key=version_key(head.version), body=body),
            Write(row_key=version_key(dropped), body=None),
        ),
    )


def version_key(version: Version) -> RowKey:
    """Name the row of one version."""
    return RowKey(table=TABLE, key=f'version/{version}')


def version_of(head: HeadVersion | None) -> Version:
    """Return the version of a head, 0 without one."""
    return head.version if head else NO_VERSION


def head_from(row: Row) -> HeadVersion | None:
    """Read a version from its row, `None` from a missing row."""
    if row.version == NO_VERSION:
        return None
    return HeadVersion(
        version=Version(row.body['version']),
        digest=Digest(row.body['digest']),
        apply_id=ApplyId(row.body['apply_id']),
    )

"""The head of the configuration in the platform's table service.

The head is the newest durable version. The row `head` is written once per
version, so the version of the row equals that of the configuration. Each
version also has a row of its own, which shows whether an unanswered write
took effect.
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
    """Return a request for the head."""
    return ReadRows(row_keys=(HEAD_KEY,))


def read_version(version: Version) -> ReadRows:
    """Return a request for the head and the row of one version."""
    return ReadRows(row_keys=(HEAD_KEY, version_key(version)))


def write_version(head: HeadVersion) -> Transact:
    """Return a transaction that makes `head` the newest version.

    It takes effect only if the preceding version is the newest one. It also
    deletes the row of the version that is `KEPT_VERSIONS` older than `head`.
    """
    body = {
        'version': head.version,
        'digest': head.digest,
        'apply_id': head.apply_id,
    }
    deleted = Version(head.version - settings.KEPT_VERSIONS)
    return Transact(
        conditions=(Condition(row_key=HEAD_KEY, version=head.version - 1),),
        writes=(
            Write(row_key=HEAD_KEY, body=body),
            Write(row_key=version_key(head.version), body=body),
            Write(row_key=version_key(deleted), body=None),
        ),
    )


def version_key(version: Version) -> RowKey:
    """Return the key of the row of one version."""
    return RowKey(table=TABLE, key=f'version/{version}')


def version_of(head: HeadVersion | None) -> Version:
    """Return the version of a head, 0 without one."""
    return head.version if head else NO_VERSION


def head_from(row: Row) -> HeadVersion | None:
    """Decode a row; return `None` if the row is missing."""
    if row.version == NO_VERSION:
        return None
    return HeadVersion(
        version=Version(row.body['version']),
        digest=Digest(row.body['digest']),
        apply_id=ApplyId(row.body['apply_id']),
    )

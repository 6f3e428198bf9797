"""Rows in the store that assign an owner to each caller-chosen key.

A caller-chosen key does not name its owner, so the first control process
that writes the row of the key owns it. The key of a row starts with the
day of its first use; a row is searched under today, tomorrow and yesterday
of the reader's clock.
"""

import base64
import dataclasses
import hashlib
from typing import Any

from chicorybridge.claims.claim_messages import AttemptId, KeptAnswer
from chicorybridge.claims.request_keys import KeyOwner
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.identities import (
    Digest,
    HostId,
    Incarnation,
    RequestKey,
)
from chicorybridge.storage.stores import RowKey

CLAIM_TABLE = 'claims'

# Days, relative to today, under which a row may be found: around midnight
# the clocks of two hosts may show different days.
DAY_OFFSETS = (0, 1, -1)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerRow:
    """Contents of the row of a key.

    `attempt_id` is the attempt for which the row was written. `answer` is
    set once an attempt is complete and its answer was stored.
    """

    owner: KeyOwner
    attempt_id: AttemptId
    fingerprint: Digest
    answer: KeptAnswer | None = None

    def to_body(self) -> dict[str, Any]:
        """Return the body of the row as JSON values."""
        body = {
            'host': self.owner.host_id,
            'incarnation': self.owner.incarnation,
            'attempt': self.attempt_id,
            'fingerprint': self.fingerprint,
        }
        if self.answer is not None:
            body['answer'] = base64.b64encode(pack(self.answer)).decode()
        return body

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> 'OwnerRow':
        """Build the contents from the JSON values of a row body."""
        encoded = body.get('answer')
        answer = None
        if encoded is not None:
            answer = unpack(base64.b64decode(encoded))
        owner = KeyOwner(
            host_id=HostId(body['host']),
            incarnation=Incarnation(body['incarnation']),
        )
        return cls(
            owner=owner,
            attempt_id=AttemptId(body['attempt']),
            fingerprint=Digest(body['fingerprint']),
            answer=answer,
        )


def candidate_row_keys(key: RequestKey, *, today: int) -> tuple[RowKey, ...]:
    """Return the keys a row may be stored under, that of today first."""
    name = hashlib.sha256(key.encode()).hexdigest()
    return tuple(
        RowKey(table=CLAIM_TABLE, key=f'{day_prefix(today + offset)}{name}')
        for offset in DAY_OFFSETS
    )


def day_prefix(day: int) -> str:
    """Return the prefix of the keys of all rows of a day."""
    return f'{day}/'

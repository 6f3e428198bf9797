"""Rows of the platform that assign an owner to each key of a caller.

A key that the caller chose says nothing of its owner, so the first host
that writes its row owns it. The name of a row starts with the day of its
first use: a key is looked for under the days around today.
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

# Where a row may be, in days from today: the clocks of two hosts may
# stand on either side of midnight.
DAY_OFFSETS = (0, 1, -1)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerRow:
    """What the row of a key says; `answer` once the first try is complete.

    `attempt_id` is the try for which the row was written.
    """

    owner: KeyOwner
    attempt_id: AttemptId
    fingerprint: Digest
    answer: KeptAnswer | None = None

    def to_body(self) -> dict[str, Any]:
        """Return the JSON values of the row."""
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
        """Read the JSON values of a row."""
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
    """Return where the row of a key may be, the place of today first."""
    name = hashlib.sha256(key.encode()).hexdigest()
    return tuple(
        RowKey(table=CLAIM_TABLE, key=f'{day_prefix(today + offset)}{name}')
        for offset in DAY_OFFSETS
    )


def day_prefix(day: int) -> str:
    """Return how the names of the rows of a day start."""
    return f'{day}/'

"""Tests of how an entry process asks for claims."""

import random
import types

import pytest

from chicorybridge.claims.claim_clients import ClaimClient
from chicorybridge.claims.claim_messages import (
    ClaimDecided,
    ClaimRequested,
    ClaimVerdict,
    ClaimWithdrawn,
    EntryId,
)
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.errors import RequestError
from chicorybridge.common.identities import Digest, RequestKey

KEY = RequestKey('k')


class Control:
    """A control process that decides at once, or never."""

    def __init__(self, *, decides):
        """Keep what is posted in `posted`."""
        self.posted = []
        self.claim_client = ClaimClient(
            entry_id=EntryId('entry'),
            clock=ManualClock(),
            rng=random.Random(1),
            post=self.post,
        )
        self._decides = decides

    async def post(self, message):
        """Take a message of the entry process."""
        self.posted.append(message)
        if self._decides and isinstance(message, ClaimRequested):
            await self.claim_client.handle_decision(
                ClaimDecided(
                    attempt_id=message.attempt_id, verdict=ClaimVerdict.run
                )
            )
        return True


def _call(deadline_at):
    return types.SimpleNamespace(digest=Digest('d'), deadline_at=deadline_at)


async def test_decision_during_the_request_is_not_missed():
    """A decision counts even before the request was handed over."""
    control = Control(decides=True)
    decision = await control.claim_client.claim(_call(60_000), KEY)
    assert decision.verdict is ClaimVerdict.run
    assert len(control.posted) == 1


async def test_try_without_a_decision_is_withdrawn():
    """A late decision must not leave the key taken."""
    control = Control(decides=False)
    with pytest.raises(RequestError, match='deadline'):
        await control.claim_client.claim(_call(10), KEY)
    requested, withdrawn = control.posted
    assert isinstance(withdrawn, ClaimWithdrawn)
    assert withdrawn.attempt_id == requested.attempt_id

"""Tests of the client with which an entry process requests claims."""

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


class FakeControl:
    """A control process that grants every claim at once, or never replies."""

    def __init__(self, *, decides):
        """Collect the messages of the client in `posted`."""
        self.posted = []
        self.claim_client = ClaimClient(
            entry_id=EntryId('entry'),
            clock=ManualClock(),
            rng=random.Random(1),
            post=self.post,
        )
        self._decides = decides

    async def post(self, message):
        """Receive a message of the client, and grant a claim request."""
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


async def test_decision_that_arrives_during_the_post_is_used():
    """The client must not miss a decision that arrives before `post` ends."""
    control = FakeControl(decides=True)
    decision = await control.claim_client.claim(_call(60_000), KEY)
    assert decision.verdict is ClaimVerdict.run
    assert len(control.posted) == 1


async def test_attempt_without_a_decision_is_withdrawn():
    """The claim is withdrawn at the deadline.

    Otherwise a late grant would keep the key held by an attempt that never
    runs.
    """
    control = FakeControl(decides=False)
    with pytest.raises(RequestError, match='deadline'):
        await control.claim_client.claim(_call(10), KEY)
    requested, withdrawn = control.posted
    assert isinstance(withdrawn, ClaimWithdrawn)
    assert withdrawn.attempt_id == requested.attempt_id

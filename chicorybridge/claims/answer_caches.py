"""Cache of the answers of keyed requests, limited in bytes."""

from collections import OrderedDict

from chicorybridge import settings
from chicorybridge.claims.claim_messages import KeptAnswer
from chicorybridge.common.identities import RequestKey


class AnswerCache:
    """Keep small answers by key; evict the oldest when full."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self.size_bytes = 0
        self._answers_by_key: OrderedDict[RequestKey, KeptAnswer] = (
            OrderedDict()
        )

    def store(self, key: RequestKey, answer: KeptAnswer | None) -> None:
        """Store the answer of a key unless it is `None` or too large."""
        self.remove(key)
        if answer is None or answer.size > settings.MAX_CLAIM_ANSWER_BYTES:
            return
        self._answers_by_key[key] = answer
        self.size_bytes += answer.size
        while self.size_bytes > settings.CLAIM_ANSWER_CACHE_BYTES:
            self.remove(next(iter(self._answers_by_key)))

    def find(self, key: RequestKey) -> KeptAnswer | None:
        """Return the answer of a key, `None` if it is not in the cache."""
        return self._answers_by_key.get(key)

    def remove(self, key: RequestKey) -> None:
        """Remove the answer of a key, if there is one."""
        answer = self._answers_by_key.pop(key, None)
        if answer is not None:
            self.size_bytes -= answer.size

"""The answer to callers who ask which addresses to use."""

import json

from chicorybridge import settings
from chicorybridge.entry_messages import EntryListSent
from chicorybridge.exchanges import CallerExchange, Head, Headers

ENTRIES_PATH = b'/chicorybridge/entries'
OK_STATUS = 200


class EntryList:
    """Hold what the control process said last and answer with it."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.sent = EntryListSent(addresses=(), ttl_ms=settings.LIST_TTL_MS)
        self.key_prefix = ''

    def names(self, address: str) -> bool:
        """Return whether callers are told to use `address`."""
        return address in self.sent.addresses

    async def answer(
        self, exchange: CallerExchange, head: Head, headers: Headers
    ) -> bool:
        """Answer a request for the list; `False` for any other path."""
        if head.path.partition(b'?')[0] != ENTRIES_PATH:
            return False
        listed = {
            'entries': list(self.sent.addresses),
            'ttl_ms': self.sent.ttl_ms,
            'key_prefix': self.key_prefix,
        }
        body = json.dumps(listed).encode()
        own_headers = [
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
        ]
        await exchange.answer(
            status=OK_STATUS, headers=own_headers + headers, body=body
        )
        return True

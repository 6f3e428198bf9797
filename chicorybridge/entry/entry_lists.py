"""Answers to requests for the entry list, the addresses for callers to use."""

import json
import random
from urllib.parse import parse_qs, urlsplit

from chicorybridge import settings
from chicorybridge.common.identities import ZoneId
from chicorybridge.fleet.rosters import Roster, draw_entry_list
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.exchanges import Head, Headers

ENTRIES_PATH = '/chicorybridge/entries'
ZONE_PARAMETER = 'zone'
OK_STATUS = 200


class EntryListResponder:
    """Answer requests for the entry list from the newest roster."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start without a roster; `rng` draws the order of the addresses."""
        self.roster: Roster | None = None
        self.key_prefix = ''
        self._rng = rng

    @property
    def ttl_ms(self) -> int:
        """Return the time to live of the entry list."""
        if self.roster is None:
            return settings.ENTRY_LIST_SHORT_TTL_MS
        return self.roster.ttl_ms

    def includes(self, address: str) -> bool:
        """Return whether the roster contains `address`, IP:PORT."""
        if self.roster is None:
            return False
        return any(address in host.entries for host in self.roster.hosts)

    async def answer(
        self, exchange: CallerExchange, head: Head, headers: Headers
    ) -> bool:
        """Answer a request for the list; return `False` for other paths."""
        url = urlsplit(head.path.decode('ascii'))
        if url.path != ENTRIES_PATH:
            return False
        body = json.dumps(self._document(url.query)).encode()
        own_headers = [
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
        ]
        await exchange.answer(
            status=OK_STATUS, headers=own_headers + headers, body=body
        )
        return True

    def _document(self, query: str) -> dict:
        addresses: tuple[str, ...] = ()
        if self.roster is not None:
            zones = parse_qs(query).get(ZONE_PARAMETER)
            zone_id = ZoneId(zones[0]) if zones else None
            listed = draw_entry_list(
                self.roster, rng=self._rng, zone_id=zone_id
            )
            addresses = listed.addresses
        return {
            'entries': list(addresses),
            'ttl_ms': self.ttl_ms,
            'key_prefix': self.key_prefix,
        }

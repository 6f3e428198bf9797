"""Rows in the form in which servers and operators write them."""

import json
from typing import Any


def server_row(*, address: str = '127.0.0.1:1', **fields: Any) -> bytes:
    """Return the entry of a server with `fields` added or replaced."""
    entry = {
        'service': 'quotes',
        'address': address,
        'zone': 'groningen',
        'version': 'v1',
        'capacity': 6,
        'state': 'ready',
        'warmup_left_s': 0,
        'sequence': 1,
        'born': 1_790_000_000_000,
    }
    return json.dumps({**entry, **fields}).encode()


def route(**fields: Any) -> dict[str, Any]:
    """Return a configured route with `fields` added or replaced."""
    return {
        'name': 'r-1',
        'host': 'quotes.example',
        'prefix': '/lookup/',
        'route_type': 'idempotent',
        'timeout_s': 2,
        'target_latency_s': 1,
        'priority': 1,
        'service': 'quotes',
        'attempts': 2,
        **fields,
    }


def tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return a configured workspace with `fields` added."""
    return {'name': name, 'api_keys': list(keys), **fields}


def configuration_row(
    *routes: dict[str, Any], version: str = '0000000c', **fields: Any
) -> bytes:
    """Return the operator's configuration with `routes` and `fields`."""
    service = {
        'name': 'quotes',
        'health_check': '/healthz',
        'max_connections': 100,
        'protocol': 'h1',
        'tls': False,
    }
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 1_000_000,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    }
    document = {
        'version': version,
        'routes': list(routes),
        'services': [service],
        'limits': limits,
        **fields,
    }
    return json.dumps(document).encode()

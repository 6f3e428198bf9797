"""Measure configurations with many workspaces: memory, time and bytes.

python -m chicorybridge.tools.measurements.workspace_costs [WORKSPACES]
"""

import gc
import json
import logging
import sys
import time
import tracemalloc
import zlib
from collections.abc import Callable
from typing import Any

from chicorybridge.common.clocks import NANOS_PER_MILLI
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.fleet.configurations import (
    diff_configurations,
    patch_configuration,
)
from chicorybridge.platform.formats import decode_configuration

logger = logging.getLogger(__name__)

WORKSPACES = 34_000
KEYS_PER_WORKSPACE = 2
ROUTES = 20
REPEATS = 3
LOOKUPS = 10_000


def make_row(workspaces: int, *, version: int, changed: int = -1) -> bytes:
    """Return a configuration; the workspace `changed` has another key."""
    tenants = [
        {
            'name': 'workspace-{0:06d}'.format(number),
            'api_keys': [
                _key(number, key, version if number == changed else 0)
                for key in range(KEYS_PER_WORKSPACE)
            ],
            'rate_per_s': 5,
            'burst': 10,
        }
        for number in range(workspaces)
    ]
    routes = [
        {
            'name': f'r-{number}',
            'host': 'a.example',
            'prefix': f'/{number}/',
            'route_type': 'idempotent',
            'service': 's',
        }
        for number in range(ROUTES)
    ]
    limits = {
        'max_header_bytes': 16_384,
        'max_body_bytes': 1_000_000,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    }
    document = {
        'version': format(version, '08x'),
        'services': [{'name': 's', 'health_check': '/'}],
        'routes': routes,
        'limits': limits,
        'tenants': tenants,
    }
    return json.dumps(document).encode()


def measure(workspaces: int) -> dict[str, float]:
    """Return the figures by name, the shortest of `REPEATS` for times."""
    row = make_row(workspaces, version=4)
    changed_row = make_row(workspaces, version=5, changed=workspaces // 2)
    before: Any = decode_configuration(row)
    after: Any = decode_configuration(changed_row)
    delta: Any = diff_configurations(before, after)
    body = pack(before)
    key = _key(workspaces // 2, 0, 0).encode()
    lookups_ms = _milliseconds(
        lambda: [before.keys.find(key) for _ in range(LOOKUPS)]
    )
    return {
        'row bytes': len(row),
        'packed bytes': len(body),
        'compressed bytes': len(zlib.compress(body, 1)),
        'memory bytes': _memory_bytes(row),
        'decode row ms': _milliseconds(lambda: decode_configuration(row)),
        'pack ms': _milliseconds(lambda: pack(before)),
        'unpack ms': _milliseconds(lambda: unpack(body)),
        'one key: delta bytes': len(pack(delta)),
        'one key: make delta ms': _milliseconds(
            lambda: diff_configurations(before, after)
        ),
        'one key: apply delta ms': _milliseconds(
            lambda: patch_configuration(before, delta)
        ),
        'lookup us': lookups_ms / LOOKUPS * 1000,
    }


def _key(workspace: int, key: int, version: int) -> str:
    return 'key-{0:08d}-{1}-{2}'.format(workspace, key, version)


def _memory_bytes(row: bytes) -> int:
    """Return the bytes that stay allocated for a decoded configuration."""
    gc.collect()
    tracemalloc.start()
    configuration = unpack(pack(decode_configuration(row)))
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used if configuration else 0


def _milliseconds(action: Callable[[], Any]) -> float:
    """Return the least processor time of an action."""
    times = []
    for _ in range(REPEATS):
        started_at = time.process_time_ns()
        action()
        times.append(time.process_time_ns() - started_at)
    return min(times) / NANOS_PER_MILLI


def main() -> None:
    """Log the figures for the number of workspaces of the command line."""
    logging.basicConfig(level=logging.INFO, format='%(message)s')
    arguments = sys.argv[1:]
    workspaces = int(arguments[0]) if arguments else WORKSPACES
    for name, figure in measure(workspaces).items():
        logger.info('%s: %.3f', name, figure)


if __name__ == '__main__':
    main()

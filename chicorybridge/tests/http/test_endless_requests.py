"""Endless bytes of callers that arrive faster than they are read."""

import time
from types import SimpleNamespace
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.http.close_reasons import linger
from chicorybridge.tests.http.floods import FLOOD_S, FloodingSocket

TIMEOUT_MS = 100


async def test_caller_that_keeps_sending_does_not_block_other_tasks(
    monkeypatch,
):
    monkeypatch.setattr(settings, 'DISCARD_TIMEOUT_MS', TIMEOUT_MS)
    exchange: Any = SimpleNamespace(
        sock=FloodingSocket(b'', b'more'), drop_received=lambda: None
    )
    started_at = time.monotonic()
    lingering = await curio.spawn(linger, exchange)
    await curio.sleep(0)
    assert not lingering.terminated
    await lingering.join()
    assert time.monotonic() - started_at < FLOOD_S

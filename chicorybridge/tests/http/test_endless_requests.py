"""Bytes of callers that never end, and come faster than they are read."""

import time
from types import SimpleNamespace
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.http.caller_endings import linger
from chicorybridge.tests.http.floods import FLOOD_S, FloodingSocket

BRIEF_MS = 100


async def test_caller_that_sends_on_after_its_answer_holds_nobody_up(
    monkeypatch,
):
    monkeypatch.setattr(settings, 'DISCARD_TIMEOUT_MS', BRIEF_MS)
    exchange: Any = SimpleNamespace(sock=FloodingSocket(b'', b'more'))
    began = time.monotonic()
    lingering = await curio.spawn(linger, exchange)
    await curio.sleep(0)
    assert not lingering.terminated
    await lingering.join()
    assert time.monotonic() - began < FLOOD_S

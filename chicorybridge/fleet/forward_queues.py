"""Messages of other regions that a host forwards to its zone."""

import dataclasses
import math
from typing import Any

from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.fleet.store_reads import StoreMark


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueuedMark:
    """A mark that waits, and when its first sender read the store."""

    mark: StoreMark
    read_at: Millis


class ForwardQueue:
    """Keep messages until they are sent; marks have their age by then."""

    def __init__(self, *, clock: Clock) -> None:
        """Start without messages."""
        self._clock = clock
        self._messages: list[Any] = []

    def add(self, message: Any) -> None:
        """Add a message that stays as it is."""
        self._messages.append(message)

    def add_mark(self, mark: StoreMark, *, read_at: Millis) -> None:
        """Add a mark of a read at `read_at` or later."""
        self._messages.append(QueuedMark(mark=mark, read_at=read_at))

    def take(self) -> tuple[Any, ...]:
        """Return the messages as they are sent now, and forget them."""
        messages = tuple(self._as_sent(message) for message in self._messages)
        self._messages.clear()
        return messages

    def _as_sent(self, message: Any) -> Any:
        if not isinstance(message, QueuedMark):
            return message
        now = self._clock.now()
        return dataclasses.replace(
            message.mark,
            age_ms=math.ceil(now - message.read_at),
            sent_at=math.floor(now),
        )

"""Urgency of requests."""

from typing import NamedTuple


class Rank(NamedTuple):
    """Urgency of a request; lower ranks are more urgent.

    `first` is that of its workspace, or of its route if the workspace has
    none; `second` is that of its route.
    """

    first: int = 0
    second: int = 0

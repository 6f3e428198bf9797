"""Garbage collector settings of processes that serve requests.

A full collection blocks the event loop. The heap grows with the tables, so
that collections lengthen the tail of the latency.
"""

import gc

# Allocations until a collection of generation 0, and collections of a
# generation until one of the next.
GENERATION_THRESHOLDS = (50_000, 50, 100)


def freeze_collector() -> None:
    """Exempt all current objects from collection, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GENERATION_THRESHOLDS)

"""Set up the garbage collector of a process that serves requests.

A full collection stops the event loop; on a heap that grows with the
tables this shows as the tail of the latency.
"""

import gc

# Allocations before a young collection, and young ones before older ones.
THRESHOLDS = (50_000, 50, 100)


def freeze_collector() -> None:
    """Exempt all that lives now, and collect the rest less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)

"""Defaults of every setting; `docs/settings.md` lists them all.

Times end in `_MS` and are milliseconds; shares run from 0 to 1.
"""

# Declaration: regions and services.
LINK_BITS_PER_SECOND = 30_000_000
LINK_SHARE = 0.5
FLOOR = 0.7
SENSITIVITY = 0.5
TIMEOUT_MS = 5000
RETRY_SHARE = 0.1
MAX_BODY_BYTES = 64 * 1024 * 1024
PROBE_PATH = '/health'

# Declaration: pools.
HARDWARE = 'standard'
SPEED = 1.0
SLOTS = 6
CONNECTIONS = 400
WARM_UP_MS = 10_000

# Declaration: workspaces.
WORKSPACE_REQUESTS_PER_SECOND = 1000

# Control process.
TICK_MS = 100

# Membership. A link is lost after `LOST_BEATS` intervals of silence.
HEARTBEAT_MS = 1000
FAR_HEARTBEAT_MS = 3000
LOST_BEATS = 4
HOST_LIST_MS = 5000
# A host that nobody proves to hear, and that cannot read the head of the
# configuration, takes no new work after `CUT_OFF_MS`. Others stop waiting
# for it after `EXCUSE_MS`, which leaves a margin for clock drift.
CUT_OFF_MS = 10_000
EXCUSE_MS = 15_000
# A group of hosts serves on by itself when it is a larger share of the
# fleet than `GROUP_SHARE`; a silent group is excused up to `EXCUSE_SHARE`.
GROUP_SHARE = 0.3
EXCUSE_SHARE = 0.26

# Rollouts. Hosts that may miss a version read the head of the
# configuration every `HEAD_POLL_MS`, as do `HEAD_READERS` of each zone.
HEAD_POLL_MS = 2000
HEAD_READERS = 2
# A body is asked of another peer after `REPAIR_MS` without it.
REPAIR_MS = 300
# A host that starts, or was cut off, takes no work for `JOIN_MS`, in which
# all peers learn of it, and then only on the word of `JOIN_REPORTS` peers.
JOIN_MS = 3000
JOIN_REPORTS = 2
# Repeats of requests to the platform and to lagging hosts.
STORE_RETRY_MS = 1000
REPORT_MS = 500
# How long an apply that is not durable outlives its operator.
OPERATOR_MS = 10_000
# How long a status waits for the reports of hosts.
STATUS_MS = 1000
# Versions whose rows are kept.
KEPT_VERSIONS = 1000

# Entry list. Callers may use a list for its time to live, a short one
# when the host that answers takes no new work itself.
ENTRY_TTL_MS = 10_000
ENTRY_SHORT_TTL_MS = 2000
# Entries of the caller's zone, of its region besides, and of each other.
ENTRIES_ZONE = 6
ENTRIES_REGION = 4
ENTRIES_FAR = 3

# Drain of a host. It keeps taking connections while callers may hold a
# list that names it, for the time to live and the spread of its leaving.
DRAIN_SPREAD_MS = 3000
# How long connections of callers may stay open once told to close.
DRAIN_CLOSE_MS = 30_000

# A target counts as leaving for this long after its last sign.
LEAVING_MS = 60_000

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

# HTTP on both sides.
MAX_HEAD_BYTES = 32 * 1024
RECEIVE_BYTES = 64 * 1024
HEAD_TOO_LARGE_STATUS = 431

# Streams between processes.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

# Entry process: bodies and connections.
BUFFER_BYTES = 64 * 1024
CONNECTION_IDLE_MS = 10_000
CONNECTION_PROVEN_MS = 1000
CONNECTION_AGE_MS = 300_000
MAX_CALLERS = 2000
CALLER_IDLE_MS = 60_000
CALLER_HEAD_MS = 10_000
CALLER_STALL_MS = 30_000
CONNECT_MS = 1000
# Stand-ins.
STANDIN_SERVICE_MS = 5.0
STANDIN_SPREAD = 0.2
STANDIN_PROBE_MS = 25.0
STANDIN_COLD_FACTOR = 4.0
STANDIN_QUEUE = 12
STANDIN_QUEUE_TURN_MS = 5.0
STANDIN_SNAPSHOTS = 10_000
STANDIN_STOP_MS = 10_000.0
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

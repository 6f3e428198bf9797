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

# Stand-ins.
STANDIN_SERVICE_MS = 5.0
STANDIN_SPREAD = 0.2
STANDIN_PROBE_MS = 25.0
STANDIN_COLD_FACTOR = 4.0
STANDIN_QUEUE = 12
STANDIN_QUEUE_TURN_MS = 5.0
STANDIN_SNAPSHOTS = 10_000
STANDIN_STOP_MS = 10_000.0

# Load and experiments.
LOAD_REQUESTS_PER_SECOND = 63.0
LOAD_WORKERS = 32
LOAD_TIMEOUT_MS = 10_000
LOAD_REPEAT_AFTER_MS = 100
LOAD_ENTRIES_TIMEOUT_MS = 2000

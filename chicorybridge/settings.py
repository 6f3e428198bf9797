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

# Claims of idempotency keys. A key lives for CLAIM_EPOCHS epochs.
CLAIM_EPOCH_MS = 300_000
CLAIM_EPOCHS = 12
# How long a try waits for the decision of the owner of its key.
CLAIM_DECISION_MS = 2000
# How long a repeat waits for the end of the first try.
CLAIM_WAIT_MS = 10_000
CLAIM_RESEND_MS = 300
# Longer than any request; then the end of a try counts as unknown.
CLAIM_RUN_MS = 120_000
# How long the end of a try is offered to an owner that does not hear.
CLAIM_REPORT_MS = 600_000
# Limits of one control process.
CLAIMS_KEPT = 40_000
CLAIM_WAITING = 8
CLAIM_WITHDRAWN = 16
CLAIM_REPORTS = 4096
CLAIM_ANSWER_BYTES = 4096
CLAIM_ANSWERS_BYTES = 8 * 1024 * 1024
# Rows that assign owners to keys of callers.
CLAIM_ROWS_IN_TRANSACTION = 64
CLAIM_ROWS_WAITING = 1024
CLAIM_ROWS_RETRY_MS = 1000

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
# Events of a connection that are read before other tasks have their turn.
STEPS_PER_TURN = 32
# What a target may send before the answer that is due: informational answers
# and late ones to other requests.
AHEAD_ANSWERS = 16
AHEAD_BYTES = 512 * 1024

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
# Up to this size all hosts exchange heartbeats; in larger fleets each does
# with few of its zone, and so many bridges of a zone with other zones.
MESH_HOSTS = 50
BRIDGES = 4
# A host that nobody proves to hear, and that cannot read the head of the
# configuration, takes no new work after `CUT_OFF_MS`. Others stop waiting
# for it after `EXCUSE_MS`, which leaves a margin for clock drift.
CUT_OFF_MS = 10_000
EXCUSE_MS = 15_000
# A group of hosts serves on by itself when it is a larger share of the
# fleet than `GROUP_SHARE`; a silent group is excused up to `EXCUSE_SHARE`.
GROUP_SHARE = 0.3
EXCUSE_SHARE = 0.26
# Retries.
RETRY_WINDOW_MS = 10_000
RETRY_FADE_STEP_MS = 100
RETRY_RESERVE = 1
RETRY_LEAST_MS = 20
# The part of the bound on retries of the fleet that hosts use: one that starts
# anew does not know what it spent before, a tenth of the hosts in a window.
RETRY_BOUND_SHARE = 0.9
MAX_ATTEMPTS = 3

# Wait after a connection that could not be accepted: descriptors may be short.
ACCEPT_RETRY_MS = 20
# Turns of the loop in which a stopping process takes what waits to be accepted.
ACCEPT_TURNS = 8

# Choice of target.
CHOICE_SAMPLES = 3
CHOICE_DRAWS = 12
LATENCY_SAMPLE_SHARE = 0.2
LATENCY_RISE_SHARE = 0.4
LATENCY_MEMORY_MS = 10_000
LATENCY_FADE_STEP_MS = 50
USUAL_LATENCY_STEP = 0.02
BASELINE_STEP = 0.01
BASELINE_SAMPLES = 50
FAILURE_COST = 5.0
SHED_PAUSE_MS = 200
SHED_PAUSE_LIMIT_MS = 5000
WARM_UP_FLOOR = 0.1
SPILL_COST = 3.0
REGION_COST = 1.5
ACROSS_COST = 4.0

# Limits.
IN_FLIGHT_BURST = 4
IN_FLIGHT_LEAST = 2
CONNECTIONS_RESERVED_SHARE = 0.2
CONNECTIONS_LEAST = 1
SUBSET_NEAR_SHARE = 0.6
ADMISSION_INTERVAL_MS = 250
ADMISSION_LEAST_SIGNALS = 20
ADMISSION_LEAST_SHARE = 0.02
ADMISSION_STEP = 0.01
ADMISSION_RISE = 0.1
ADMISSION_SHED_CUT = 0.5
ADMISSION_SLOW_CUT = 0.12
WINDOW_SHARE_LOW = 0.5
WINDOW_SHARE_NORMAL = 0.75
ADMISSION_PATIENCE_MS = 2000
ADMISSION_MIX_KEPT = 0.8
ADMISSION_MIX_LEAST = 0.01
OVERLOAD_SHED_SHARE = 0.05
OVERLOAD_LATENCY = 3.0
OVERLOAD_SLOW_SHARE = 0.3
OVERLOAD_LEAST_SHED = 2
RETRY_AFTER_MS = 1000
RETRY_AFTER_LIMIT_MS = 10_000
WORKSPACE_BURST_MS = 2000
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
CLAIMS_KEPT = 25_000
CLAIM_WAITING = 8
CLAIM_WITHDRAWN = 16
CLAIM_REPORTS = 4096
CLAIM_ANSWER_BYTES = 4096
CLAIM_ANSWERS_BYTES = 8 * 1024 * 1024
# Rows that assign owners to keys of callers.
CLAIM_ROWS_IN_TRANSACTION = 64
CLAIM_ROWS_WAITING = 1024
CLAIM_ROWS_RETRY_MS = 1000
# Rows that the fleet may write for claims, shared by this many hosts until
# their number is known; what one host may write at once.
CLAIM_ROWS_PER_SECOND = 200
CLAIM_HOSTS = 44
CLAIM_ROWS_BURST = 64
# Mean time between two sweeps of old rows by one host.
CLAIM_SWEEP_MS = 600_000
LINGER_MS = 2000
WORKSPACE_SHARE_FACTOR = 2

# Entry process: its link with the control process.
LINK_QUEUE_MESSAGES = 4096
LINK_RETRY_MS = 200
EVENTS_PER_REPORT = 256
METRICS_MS = 1000
UNLIST_MS = 10_000
HISTOGRAM_MAX_MICROS = 3_600_000_000
HISTOGRAM_DIGITS = 2

# Control process: streams and the platform.
SEND_MS = 2000
DRAIN_MS = 120_000
PLATFORM_TIMEOUT_MS = 2000
REGISTER_MS = 3000

# Operators' commands.
OPERATOR_TIMEOUT_MS = 5000
APPLY_WAIT_MS = 60_000
WATCH_MS = 1000

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

# Load and experiments.
LOAD_REQUESTS_PER_SECOND = 63.0
LOAD_WORKERS = 32
LOAD_TIMEOUT_MS = 10_000
LOAD_REPEAT_AFTER_MS = 100
LOAD_ENTRIES_TIMEOUT_MS = 2000

# Requests that crash targets.
SUSPECT_MS = 600_000
SUSPECT_REPEAT_MS = 2000
SUSPECTS_MOST = 4096
VICTIMS_CLEAR = 2
VICTIMS_AMBIGUOUS = 3
VICTIMS_MASS = 3
CRASHES_MS = 60_000
CRASHES_ELSEWHERE_FACTOR = 5
SUSPECT_RELAYS = 6
SUSPECT_WAIT_MS = 30

# Bytes across regions.
CROSSING_POOL_SHARE = 0.75
CROSSING_BURST_MS = 500
CROSSING_SMALL_BYTES = 65_536
CROSSING_WANT_LEAST = 32_768
CROSSING_WANT_MS = 1000
CROSSING_LEASE_MS = 3000
CROSSING_WAIT_LEAST_MS = 1

# Departures.
LEAVING_SIGN_MS = 2000
PROBE_TIMEOUT_MS = 1000
PROBE_ANSWER_BYTES = 64 * 1024

# Reputations of targets on the platform. The two-state chain of a target:
# the share of time that it is sound, and the time in which old news loses
# its weight, from the spells of gray targets that the users describe
# (seconds, a third of the targets at a time).
SOUND_SHARE = 0.7
GRAY_MEMORY_MS = 5000.0
# Likelihood of each sign of a sound and of a gray target. Sound ones fail
# about one request in eighty.
SOUND_ANSWERS = 0.985
GRAY_ANSWERS = 0.2
GRAY_FAILURES = 0.8
SOUND_ERRORS = 0.012
SOUND_BREAKS = 0.004
SOUND_STALLS = 0.03
# A full target rejects, and so do targets whose spell is to shed.
SOUND_REJECTIONS = 0.05
GRAY_REJECTIONS = 0.5
SOUND_LEAST = 0.01
SOUND_MOST = 0.995
# Time over which requests that ended tell the usual latency of a service,
# and how long the mean is kept.
LATENCY_WINDOW_MS = 1500.0
USUAL_KEPT_MS = 100.0
# A host with requests under way says so this often at least. After two
# reports missed, and a margin, it counts as having none; so does a zone
# whose sum did not come for two beats.
WORKLOAD_REPEAT_MS = 500.0
WORKLOAD_SILENCE_MS = 1300.0
ZONE_SILENCE_MS = 2500.0
# How often other regions are told.
FAR_SUM_MS = 500.0
# A target that this host can't reach is avoided for this long, doubled
# with each further failure up to so many times.
UNREACHABLE_MS = 500.0
UNREACHABLE_TURNS = 3
# A target that was full is avoided for about one request's time.
REJECTED_MS = 300.0

# Choice among them, in terms of the probability that the request is lost.
CHOICE_MARGIN = 0.03
LOAD_CALM = 0.5
LOAD_LOSS = 0.4
# A target of the own zone is preferred; bytes between zones are paid, too.
OTHER_ZONE_LOSS = 0.05
ZONE_CROSSING_LOSS = 0.0025
# Bytes between regions are paid by volume: an answer of some kilobytes, and
# each kilobyte of the request, against the worth of a request.
OTHER_REGION_LOSS = 0.15
CROSSING_LOSS = 0.02
UNREACHABLE_LOSS = 2.0
REJECTED_LOSS = 0.5
WARMING_LOSS = 0.05
# A new connection is paid for, and may take a slot for a moment.
NEW_CONNECTION_LOSS = 0.03
# Targets worth a look by requests that can be tried again.
EXPLORED_SOUNDNESS = 0.25
EXPLORED_LOSS = 1.3
EXPLORED_CHOICES = 3
# What other requests told less than this long ago needs no look; a target
# that is most likely gray gets one about each second.
EXPLORED_AGE_MS = 200.0
EXPLORED_GRAY_AGE_MS = 800.0
# A service had no request that can be tried again for this long: its targets
# come back by requests that may run once, each second at the most, when the
# loss expected there is near that of a target never seen.
REPEATABLE_MEMORY_MS = 10_000.0
RETURNING_AGE_MS = 1000.0
RETURNING_LOSS = 0.4

# A target has room up to one request beyond its slots, which keeps it busy
# while word of a free slot travels.
ROOM_LOAD = 1.1
# Requests that wait for room at a target. A free target may be this much
# more likely to lose the request than the best one, and so much more by the
# time that the request is given up.
WAIT_PATIENCE = 0.25
WAIT_PATIENCE_RISE = 0.4
# The queue stands once a request waits for this share of its target latency.
QUEUE_STANDING_SHARE = 0.25
# A less urgent request counts as if it came this much later, by each rank.
QUEUE_RANK_MS = 150.0
# Requests looked at in vain before the rest of a queue is left waiting.
QUEUE_VAIN_CHOICES = 3
# How often a waiting request looks for room that another host left: a few
# times as long as the word of it takes within a region.
QUEUE_LOOK_LEAST_MS = 10.0
QUEUE_LOOK_MOST_MS = 30.0
# A request is refused when less than this many times the usual latency is
# left: most that would start then would not end in time.
QUEUE_RUN_FACTOR = 1.5
# Time in which a queue that stands is worked off.
OVERLOADED_RETRY_MS = 1000.0

# Hosts on the platform. Beats go to the region each interval; a host that
# is silent for three of them is lost. Far hosts are heard by turns.
BEAT_MS = 1000.0
HOST_SILENCE_MS = 3500.0
FAR_HOST_SILENCE_MS = 30_000.0
DATAGRAM_BYTES = 65_535
SNAPSHOT_MS = 1500.0
# Reads of the platform's store by the first host of a region, and when
# the next ones take over, as shares of the time within which all hosts are to
# know of a change. A read, its repeat and the word of it fit in what is left.
KNOWN_WITHIN_MS = 2000.0
READ_INTERVAL_SHARE = 0.25
READ_STALE_SHARE = 0.45
READ_RANK_SHARE = 0.06
READ_RANKS = 6
READ_BACKOFF_MS = 300.0
READ_BACKOFF_TURNS = 3
STALE_LONG_MS = 3_600_000.0
# Entries lapse after three missed heartbeats of their targets, 4.5 s: not when
# hosts read the store more often than this. Those that lapsed in an outage are
# back about two seconds after it. A host that holds removals back reads after
# so many others, which may know better.
LAPSE_GAP_MS = 2500.0
LAPSED_BACK_MS = 2200.0
HOLDING_RANKS = 2

# Requests on the platform.
# What a caller is told to wait after a refusal, before another host or
# target may serve it.
HOST_RETRY_AFTER_MS = 250.0
HOST_LEAVING_RETRY_MS = 50.0
# An answer leaves this much before the caller does: the way back.
ANSWER_MARGIN_MS = 60.0
# Within a region a connection opens in a few milliseconds.
HOST_CONNECT_MS = 300.0
# Targets close idle connections after some ten seconds.
HOST_IDLE_MS = 5000.0
# Attempts of one request, those included that reached no target.
HOST_TRIES = 6
# A repeatable request is tried elsewhere after this share of its route's
# target latency at the earliest, and only once it takes this many times
# what requests of the service take: one in fifty does when nothing is wrong.
HEDGE_SHARE = 0.6
SLOW_FACTOR = 3.0
# Target latency of a route that names none.
STALL_MS = 1500.0

# Addresses that callers are told: how long they count, and how many of a
# zone are enough not to name those of others.
DIRECTORY_TTL_MS = 2000.0
DIRECTORY_LEAST = 3
DIRECTORY_MOST = 64
# How often a host looks whether a read or a snapshot is due.
READ_CHECK_MS = 100.0
LEARN_CHECK_MS = 100.0

# Planned stop on the platform: the share of the grace in which whoever
# still comes is served, the most time for it, and the share that is kept for
# the end of the process, which takes some 0.1 s, more on a busy host.
# A request sent over 3 s after the signal has to end within the grace, others
# may be cut in its last sixth.
DRAIN_SERVE_SHARE = 0.45
DRAIN_SERVE_MOST_MS = 2700.0
DRAIN_MARGIN_SHARE = 0.08
# Bodies and answers up to this size are kept whole, to be sent again; a
# host has memory for some hundred of them.
HOST_BUFFER_BYTES = 512 * 1024

# Logs of a host: what its operators keep of it, a burst, and the lines that
# wait while nobody reads.
LOG_BYTES_PER_SECOND = 30_000.0
LOG_BURST_SECONDS = 4.0
LOG_BUFFER_BYTES = 256 * 1024
# A request that crashes targets is refused for long; its caller is told so.
QUARANTINE_RETRY_MS = 30_000.0
# The settings file may change without a signal.
SETTINGS_CHECK_MS = 2000.0
# What a host learned of a target this long before a request explains it.
EXPLAINED_MS = 3000

"""Defaults of the settings, and constants that are the same on all hosts.

Times end in `_MS` and are milliseconds; shares run from 0 to 1.
`docs/settings.md` lists the settings, `docs/constants.md` these constants.
"""

# Declaration, regions and services: bandwidth of the link of a region to
# other regions, and the share of it that the requests of a service may use.
LINK_BITS_PER_SECOND = 30_000_000
LINK_SHARE = 0.5
# Share of the slots of a service that ejections must leave, and the
# sensitivity of detection from 0 (fewest false ejections) to 1 (fastest).
FLOOR = 0.7
SENSITIVITY = 0.5
# Limits of a request: its timeout, the share of the requests of a service
# that may be retries, and the size of the body.
TIMEOUT_MS = 5000
RETRY_SHARE = 0.1
MAX_BODY_BYTES = 64 * 1024 * 1024
# Path of health checks.
PROBE_PATH = '/health'

# Declaration, pools: kind of hardware and its speed relative to the newest;
# requests and connections that a target takes from the whole fleet at once;
# time in which a target that starts reaches its full load.
HARDWARE = 'standard'
SPEED = 1.0
SLOTS = 6
CONNECTIONS = 400
WARM_UP_MS = 10_000

# Declaration, workspaces: rate limit of the requests of a workspace.
WORKSPACE_REQUESTS_PER_SECOND = 1000

# Interval of the periodic work of a process.
TICK_MS = 100

# HTTP with callers and with targets: the largest head of a message, the bytes
# of one read from a socket, and the status that refuses a larger head.
MAX_HEAD_BYTES = 32 * 1024
RECEIVE_BYTES = 64 * 1024
HEAD_TOO_LARGE_STATUS = 431
# Events of a connection that are read before other tasks may run.
EVENTS_PER_YIELD = 32
# Limits of the answers of a target that are skipped before the expected one:
# informational answers, and late answers to other requests.
MAX_SKIPPED_ANSWERS = 16
MAX_SKIPPED_BYTES = 512 * 1024

# Streams between processes: the largest message.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

# Entry process: bytes of a body that are kept, so that a retry can send them
# again.
BODY_BUFFER_BYTES = 64 * 1024
# Connections to targets: the idle time after which one is not used again, the
# shorter one for requests that are not idempotent, and the age after which one
# is closed.
MAX_CONNECTION_IDLE_MS = 10_000
NON_IDEMPOTENT_MAX_IDLE_MS = 1000
MAX_CONNECTION_AGE_MS = 300_000
# Connections of callers: how many a process holds, and how long one may be
# idle, may take to send a head, and may make no progress in a request.
MAX_CALLER_CONNECTIONS = 2000
CALLER_IDLE_TIMEOUT_MS = 60_000
CALLER_HEAD_TIMEOUT_MS = 10_000
CALLER_STALL_TIMEOUT_MS = 30_000
# Timeout of opening a connection, and of the greeting on a stream.
CONNECT_TIMEOUT_MS = 1000
# Stand-ins: service time of a request and its random spread in both
# directions, as a share of it; time that a probe of health or load takes; how
# much longer a cold target takes; requests that wait for a slot, and how often
# a waiting one checks for a free slot; snapshots of the state that are kept;
# timeout of a stop.
STANDIN_SERVICE_MS = 5.0
STANDIN_SPREAD_SHARE = 0.2
STANDIN_PROBE_MS = 25.0
STANDIN_COLD_FACTOR = 4.0
STANDIN_QUEUE_REQUESTS = 12
STANDIN_QUEUE_CHECK_INTERVAL_MS = 5.0
STANDIN_MAX_SNAPSHOTS = 10_000
STANDIN_STOP_TIMEOUT_MS = 10_000.0
# Membership: intervals of heartbeats in a region and between regions, how many
# intervals without one make a link count as lost, and the interval at which
# the list of hosts is read.
HEARTBEAT_INTERVAL_MS = 1000
CROSS_REGION_HEARTBEAT_INTERVAL_MS = 3000
MAX_MISSED_HEARTBEATS = 4
HOST_LIST_INTERVAL_MS = 5000
# Up to this number of hosts, all exchange heartbeats with each other. In a
# larger fleet each host does so with a few of its zone, and this many bridge
# hosts of each zone do so with other zones.
MAX_FULL_MESH_HOSTS = 50
BRIDGES_PER_ZONE = 4
# A host takes new work only under a lease, which is renewed when enough peers
# confirm that they receive its messages, or when it reads the head of the
# configuration. Others wait for a silent host until its lease has expired, and
# then excuse it, which means that they no longer wait for it; the difference is
# a margin for clock drift.
SERVING_LEASE_MS = 10_000
EXCUSE_AFTER_MS = 15_000
# A group of hosts that receive messages only from each other keeps its leases
# if it is more than this share of the fleet.
MIN_GROUP_SHARE = 0.3
# Several silent hosts are excused only if they are at most this share of the
# fleet, as a larger group may have kept its leases.
MAX_EXCUSED_SHARE = 0.26
# Budget of retries: the time constant with which its counts of requests and
# retries decay, the shortest step of the decay, and the retries allowed on
# top, so that a nearly idle service can retry at all.
RETRY_DECAY_MS = 10_000
RETRY_DECAY_STEP_MS = 100
RETRY_RESERVE = 1
# A request is not retried when less time than this remains until its deadline.
MIN_RETRY_REMAINING_MS = 20
# Share of the limit on retries of the fleet that hosts use. The rest covers
# hosts that restart, a tenth of them in a window: they do not know how many
# retries they sent before.
RETRY_BOUND_SHARE = 0.9
# Attempts of one request.
MAX_ATTEMPTS = 3

# Pause after a connection could not be accepted, as the process may have run
# out of file descriptors.
ACCEPT_RETRY_DELAY_MS = 20
# Iterations of the event loop in which a process that stops accepts the
# connections that are pending.
ACCEPT_ITERATIONS = 8

# Choice of target: usable targets that are compared, and random draws that
# may be made to find them.
CHOICE_SAMPLES = 3
MAX_CHOICE_DRAWS = 12
# Mean latency of a target: weight of a sample below the mean and of one above
# it, the time constant with which the mean decays to its prior, and the
# shortest step of the decay.
LATENCY_SAMPLE_WEIGHT = 0.2
LATENCY_RISE_WEIGHT = 0.4
LATENCY_DECAY_MS = 10_000
LATENCY_DECAY_STEP_MS = 50
# Usual latency of a route: the relative step by which each sample moves it.
USUAL_LATENCY_STEP = 0.02
# Baseline of a route: the relative step by which it moves each second, slowly,
# so that it keeps the latency from before an overload, and the number of first
# samples for which it equals the usual latency.
BASELINE_STEP_PER_SECOND = 0.01
BASELINE_INITIAL_SAMPLES = 50
# A failed attempt counts as a latency of this many times the prior.
FAILURE_LATENCY_FACTOR = 5.0
# Pause of a target after it shed a request: doubled with each shed in a row,
# up to the limit.
MIN_SHED_PAUSE_MS = 200
MAX_SHED_PAUSE_MS = 5000
# Minimum share of its load that a target takes while it warms up.
MIN_WARM_UP_SHARE = 0.1
# Requests spill over from their zone to the region, and from there to other
# regions, when the best target costs more than this. The factors multiply the
# cost of targets in other zones of the region and in other regions.
SPILLOVER_COST = 3.0
IN_REGION_COST_FACTOR = 1.5
OTHER_REGION_COST_FACTOR = 4.0

# Limit of the requests in flight that one process may have at a target or a
# service: a multiple of its equal share of the slots, as callers are spread
# unevenly, and the minimum.
IN_FLIGHT_BURST_FACTOR = 4
MIN_IN_FLIGHT = 2
# Connections to a target: the share that is kept in reserve, the minimum for
# each process that uses the target, and the share of these processes that are
# in its own zone.
CONNECTIONS_RESERVED_SHARE = 0.2
MIN_CONNECTIONS_PER_PROCESS = 1
SUBSET_OWN_ZONE_SHARE = 0.6
# Admission: the share of requests that is admitted is adapted at this interval
# if at least this many attempts ended in it, and never falls below the minimum.
MIN_ADMISSION_INTERVAL_MS = 250
MIN_ADMISSION_ATTEMPTS = 20
MIN_ADMISSION_SHARE = 0.02
# Without overload the admitted share rises by this step and by this share of
# itself, the latter less the closer attempts are to overload.
ADMISSION_RISE_STEP = 0.01
ADMISSION_RISE_SHARE = 0.1
# In overload the admitted share is cut in proportion to the share of attempts
# that were shed, and to that of slow attempts above its limit. Latency cuts
# less, as queues drain only after a while.
ADMISSION_SHED_CUT_FACTOR = 0.5
ADMISSION_SLOW_CUT_FACTOR = 0.12
# Share of the limit of requests in flight that requests of low and of normal
# priority may use.
LOW_PRIORITY_WINDOW_SHARE = 0.5
NORMAL_PRIORITY_WINDOW_SHARE = 0.75
# With fewer attempts than MIN_ADMISSION_ATTEMPTS, the admitted share is adapted
# at this interval.
MAX_ADMISSION_INTERVAL_MS = 2000
# Counts of arrivals by priority: the factor by which they decay at each
# adaptation, and their minimum.
ARRIVALS_DECAY_FACTOR = 0.8
MIN_ARRIVALS = 0.01
# Signs of overload: the share of attempts that are shed; the latency above
# which an attempt is slow, as a multiple of the baseline; the share of slow
# attempts; and the number of sheds below which none are counted.
OVERLOAD_SHED_SHARE = 0.05
OVERLOAD_LATENCY_FACTOR = 3.0
OVERLOAD_SLOW_SHARE = 0.3
MIN_OVERLOAD_SHEDS = 2
# Time that callers are asked to wait after a refusal in overload: this time
# divided by the admitted share, at most the maximum.
RETRY_AFTER_MS = 1000
MAX_RETRY_AFTER_MS = 10_000
# Burst of the rate limit of a workspace, as the time in which the limit admits
# that many requests.
WORKSPACE_BURST_MS = 2000
# Claims of idempotency keys. A key lives for CLAIM_EPOCHS epochs.
CLAIM_EPOCH_MS = 300_000
CLAIM_EPOCHS = 12
# How long an attempt waits for the decision of the owner of its key.
CLAIM_DECISION_TIMEOUT_MS = 2000
# How long a repeat of a request waits for the outcome of the first attempt.
CLAIM_OUTCOME_TIMEOUT_MS = 10_000
# Interval at which a claim or a report without a reply is sent again.
CLAIM_RESEND_INTERVAL_MS = 300
# An attempt without an outcome counts as unknown after this time, which is
# longer than any request takes.
CLAIM_RUN_TIMEOUT_MS = 120_000
# How long the outcome of an attempt is resent to an owner that does not
# acknowledge it.
CLAIM_REPORT_TIMEOUT_MS = 600_000
# Limits of one control process: claims; attempts that wait for one claim;
# withdrawn attempts remembered for one claim; outcomes not yet acknowledged;
# bytes of one answer that is kept for repeats, and of all of them.
MAX_CLAIMS = 25_000
MAX_CLAIM_WAITERS = 8
MAX_CLAIM_WITHDRAWALS = 16
MAX_CLAIM_REPORTS = 4096
MAX_CLAIM_ANSWER_BYTES = 4096
CLAIM_ANSWER_CACHE_BYTES = 8 * 1024 * 1024
# Rows that assign owners to keys of callers: rows in one transaction, rows
# that are queued, and the pause after a failed transaction.
MAX_CLAIM_ROWS_PER_TRANSACTION = 64
MAX_QUEUED_CLAIM_ROWS = 1024
CLAIM_ROWS_RETRY_DELAY_MS = 1000
# Rows that the fleet may write for claims, shared by this many hosts until
# their number is known, and the rows that one host may write at once.
CLAIM_ROWS_PER_SECOND = 200
CLAIM_DEFAULT_HOSTS = 44
CLAIM_ROWS_BURST = 64
# Mean interval of the sweeps of old rows by one host.
CLAIM_SWEEP_INTERVAL_MS = 600_000
# How long a connection is read and its bytes discarded before it is closed:
# closing with unread bytes would reset it and may lose the answer.
DISCARD_TIMEOUT_MS = 2000
# Share of the rate limit of a workspace that one entry process may use, as a
# multiple of its equal share.
WORKSPACE_SHARE_FACTOR = 2

# Links of control processes with their peers, and of an entry process with
# its control process: messages that are queued, and the pause before a link is
# opened again.
MAX_LINK_QUEUE_MESSAGES = 4096
LINK_RETRY_DELAY_MS = 200
# Reports of an entry process to its control process: events in one report, and
# the interval of metrics.
MAX_EVENTS_PER_REPORT = 256
METRICS_INTERVAL_MS = 1000
# How long an entry process that stops waits for an entry list without it.
UNLIST_TIMEOUT_MS = 10_000
# Histograms of durations: the largest one, an hour, and the precision.
HISTOGRAM_MAX_MICROS = 3_600_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 2

# Control process: timeout of sending a message to a peer, how long a stop
# waits for its entry processes, the timeout of a request to the platform's
# store, and the interval at which the host writes its entry there.
SEND_TIMEOUT_MS = 2000
DRAIN_TIMEOUT_MS = 120_000
PLATFORM_TIMEOUT_MS = 2000
REGISTER_INTERVAL_MS = 3000

# Operators' commands: timeout of a reply, of an apply, and the interval at
# which the command notifies the host that the operator still watches an apply.
OPERATOR_TIMEOUT_MS = 5000
APPLY_TIMEOUT_MS = 60_000
WATCH_INTERVAL_MS = 1000

# Rollouts. Hosts that may not have received the newest version read the head
# of the configuration at this interval, as do this many hosts of each zone at
# any time.
HEAD_POLL_INTERVAL_MS = 2000
HEAD_POLLERS_PER_ZONE = 2
# A body that has not arrived after this time is requested from another peer.
BODY_REQUEST_INTERVAL_MS = 300
# A host that starts, or was disconnected, takes no work for this time, in which
# all peers receive a message from it, and then only after this many peers
# reported that they know of no newer version.
JOIN_DELAY_MS = 3000
MIN_JOIN_REPORTS = 2
# Pause before a request to the platform is repeated, and interval of requests
# for the reports of hosts and of progress reports to the operator.
STORE_RETRY_DELAY_MS = 1000
REPORT_INTERVAL_MS = 500
# An apply that is not durable is dropped when no operator has watched it for
# this time.
UNWATCHED_APPLY_TTL_MS = 10_000
# How long a status request waits for the reports of hosts.
STATUS_TIMEOUT_MS = 1000
# Number of versions whose rows are kept.
KEPT_VERSIONS = 1000

# Entry lists. Callers may use a list for its TTL, which is short when the host
# that answers takes no new work itself.
ENTRY_LIST_TTL_MS = 10_000
ENTRY_LIST_SHORT_TTL_MS = 2000
# Hosts in a list: of the caller's zone, of other zones of its region, and of
# each other region.
MAX_ENTRIES_OWN_ZONE = 6
MAX_ENTRIES_OTHER_ZONES = 4
MAX_ENTRIES_PER_OTHER_REGION = 3

# Drain of a host. It accepts connections while callers may hold an entry list
# that names it: for the TTL and this time, in which all hosts receive the
# announcement that it leaves.
DRAIN_PROPAGATION_MS = 3000
# How long connections of callers may stay open after they are asked to close.
DRAIN_CLOSE_TIMEOUT_MS = 30_000

# A target counts as leaving for this long after its last sign of leaving.
LEAVING_TTL_MS = 60_000

# Load and experiments: rate, concurrent callers, timeout of a request, pause
# before a repeat, and timeout of reading the entry list.
LOAD_REQUESTS_PER_SECOND = 63.0
LOAD_WORKERS = 32
LOAD_TIMEOUT_MS = 10_000
LOAD_REPEAT_AFTER_MS = 100
LOAD_ENTRIES_TIMEOUT_MS = 2000

# Requests that may have crashed targets: how long a report of a crash is kept,
# and the number of reports that are kept.
SUSPECT_TTL_MS = 600_000
MAX_SUSPECT_REPORTS = 4096
# Victims are targets that ended under a request. A request with this many is
# refused, whatever else happened.
MAX_VICTIMS = 3
# A target that broke off a request and accepts connections may have restarted,
# or reset the connection as it is degraded. A request is refused once this many
# targets ended, or may have ended, under it: the users allow three retries more
# after the third victim.
MAX_POSSIBLE_VICTIMS = 6
# Such a target is a possible victim for this time. If it has restarted, or its
# entry has expired, the platform's list of targets shows it by then.
POSSIBLE_CRASH_TTL_MS = 9000
# A request with this many that surely ended is refused if no other request
# shares this many of them, and if fewer targets crashed without it in a time.
MIN_VICTIMS = 2
CRASH_WINDOW_MS = 60_000
# Hosts that are told of a possible crash, the same for each request. They tell
# all others once a request has several victims: most have one, and a fleet has
# many failed requests.
CRASH_WITNESSES = 8
# Hosts that get what every host should know of blamed requests from each other
# one at each heartbeat, and how many reports, the newest ones.
SUSPECT_SHARES = 3
MAX_SHARED_SUSPECTS = 128
# Hosts that tell one that has started of the reports before, and how many
# reports, so that they fit in a datagram.
NEWCOMER_INFORMANTS = 2
MAX_KNOWN_SUSPECTS = 256
# Peers that a host sends a new report to, and the pause before the retry of a
# request that may have crashed a target, in which reports of others arrive.
SUSPECT_RELAYS = 6
SUSPECT_RETRY_DELAY_MS = 30

# Crossings, which are requests sent to another region, take bytes from a token
# bucket: the share of the budget of a service that is granted on demand, while
# the rest is split evenly between processes; the burst, as time at the rate;
# the body size up to which a request may be sent while the level of the bucket
# is below 0, down to minus one burst.
CROSSING_POOL_SHARE = 0.75
CROSSING_BURST_MS = 500
MAX_SMALL_CROSSING_BYTES = 65_536
# A process reports its demand at this interval, at least the minimum if a
# request had to wait; a grant expires after the lease.
MIN_CROSSING_DEMAND_BYTES_PER_SECOND = 32_768
CROSSING_DEMAND_INTERVAL_MS = 1000
CROSSING_LEASE_MS = 3000
# Shortest wait of a body for bandwidth between regions.
MIN_CROSSING_WAIT_MS = 1

# Departures: how long an entry process keeps a sign that a target leaves, which
# it observed itself, until the host has announced it; timeout of a probe, and
# the largest answer to one.
LEAVING_SIGN_TTL_MS = 2000
PROBE_TIMEOUT_MS = 1000
MAX_PROBE_ANSWER_BYTES = 64 * 1024

# Reputations of targets on the platform. A target is either sound or gray (most
# of its requests fail) and may change at any time. The share of time that it is
# sound, as about a third of the targets are gray at a time; and the time
# constant with which old observations decay, as a target stays gray for some
# seconds.
SOUND_SHARE = 0.7
REPUTATION_DECAY_MS = 5000.0
# Likelihood of each observation of a sound and of a gray target. A sound target
# fails about one request in eighty.
SOUND_ANSWERED_SHARE = 0.985
GRAY_ANSWERED_SHARE = 0.2
GRAY_FAILED_SHARE = 0.8
SOUND_FAILED_SHARE = 0.012
SOUND_BROKEN_SHARE = 0.004
SOUND_STALLED_SHARE = 0.03
# A sound target rejects requests only when it is full; a gray one also sheds
# load.
SOUND_REJECTED_SHARE = 0.05
GRAY_REJECTED_SHARE = 0.5
# Bounds of the probability that a target is sound.
MIN_SOUNDNESS = 0.01
MAX_SOUNDNESS = 0.995
# The mean latency of a service is taken over requests that ended within this
# window.
LATENCY_WINDOW_MS = 1500.0
# Its quantiles are taken over the same requests, or over the last
# MIN_LATENCY_SAMPLES if those are more, but not over older ones than
# LATENCY_HISTORY_MS; no more than MAX_LATENCY_SAMPLES are kept. Fewer than
# MIN_QUANTILE_SAMPLES give no quantile.
LATENCY_HISTORY_MS = 10_000.0
MIN_LATENCY_SAMPLES = 40
MAX_LATENCY_SAMPLES = 512
MIN_QUANTILE_SAMPLES = 10
# With fewer an attempt is hedged after this many times the longest latency.
FEW_LATENCIES_FACTOR = 1.5
# How long mean and quantiles are cached.
LATENCY_SUMMARY_TTL_MS = 100.0
# A target that is warming up takes about this many times as long to answer.
WARMING_LATENCY_FACTOR = 2.0
# A host with requests in flight reports them at least at this interval. After
# two missed reports and a margin it counts as having none; so does a zone
# whose sum is missing for two heartbeats.
WORKLOAD_INTERVAL_MS = 500.0
WORKLOAD_TIMEOUT_MS = 1300.0
ZONE_WORKLOAD_TIMEOUT_MS = 2500.0
# Hosts of a zone tell each other directly what they have in flight, unless the
# zone has at least this many: then one of them, the aggregator, sends the sums.
# The zone returns to direct messages this many hosts below.
MIN_AGGREGATED_HOSTS = 20
AGGREGATION_HYSTERESIS_HOSTS = 6
# Interval of the sums, and how soon the first change after a pause is sent. The
# interval is longer if the sums would take more than this share of the link of
# the aggregator; then empty sums at each tick show that it is there.
MIN_TOTALS_INTERVAL_MS = 100.0
TOTALS_CHECK_INTERVAL_MS = 30.0
TOTALS_LINK_SHARE = 0.2
# Results in one message of sums, of which answers take half at most; later ones
# are dropped until it is sent.
MAX_TOTALS_RESULTS = 100
# What IP, UDP and the sender's name add to a message.
DATAGRAM_OVERHEAD_BYTES = 60
# All sums are sent at this interval, to make up for lost datagrams.
COMPLETE_TOTALS_INTERVAL_MS = 500.0
# An aggregator that is silent for the first time, three ticks and a margin, is
# not used again for the second one.
AGGREGATOR_TIMEOUT_MS = 350.0
AGGREGATOR_AVOIDED_MS = 2000.0
# So is one whose complete sums lacked requests of a host this many times in
# succession: it does not hear that host.
MAX_INCOMPLETE_SUMS = 2
# A host that others take for the aggregator sends sums for this time after each
# of their reports, which come at least each WORKLOAD_INTERVAL_MS.
AGGREGATOR_ASKED_MS = 1300.0
# Hosts of each other zone that an aggregator tells, as the first one may be
# silent.
AGGREGATORS_TOLD = 2
# Interval of the sums that an aggregator sends to other zones.
ZONE_SUMMARY_INTERVAL_MS = 400.0
# Interval of the summaries that a zone sends to other regions.
REGION_SUMMARY_INTERVAL_MS = 1000.0
# A target that this host can't reach is avoided for this time, doubled with
# each further failure up to this many times.
MIN_UNREACHABLE_PAUSE_MS = 500.0
MAX_UNREACHABLE_DOUBLINGS = 3
# A target that was full is avoided for about the time of one request.
REJECTED_PAUSE_MS = 300.0

# Choice of target by expected loss, in units of the probability that the
# request is lost. Targets whose loss is within this margin of the lowest one
# are equally good.
CHOICE_LOSS_MARGIN = 0.03
# Load is the requests in flight as a share of the slots. What exceeds the
# threshold, times the factor, is added to the loss.
LOAD_LOSS_THRESHOLD = 0.5
LOAD_LOSS_FACTOR = 0.4
# Targets of the own zone are preferred; bytes between zones cost money, too.
OTHER_ZONE_LOSS = 0.05
OTHER_ZONE_LOSS_PER_KILOBYTE = 0.0025
# Bytes between regions cost money: the cost of an answer of some kilobytes, and
# of each kilobyte of the request, relative to the value of a request.
OTHER_REGION_LOSS = 0.15
OTHER_REGION_LOSS_PER_KILOBYTE = 0.02
# Losses of targets that this host could not reach, that rejected a request,
# and that are warming up.
UNREACHABLE_LOSS = 2.0
REJECTED_LOSS = 0.5
WARMING_LOSS = 0.05
# A new connection costs time, and may take a slot for a moment.
NEW_CONNECTION_LOSS = 0.03
# A request compares this many targets with room, drawn at random. At most this
# many of each locality are looked at to find them.
COMPARED_TARGETS = 8
MAX_TARGET_DRAWS = 8
# A slot that became free on this host is offered to its next request, if that
# comes within this time.
FREED_SLOT_MS = 10.0
# Requests that can be retried explore targets that no host has observed lately:
# of those compared with a loss below the maximum the one observed longest ago.
# A target below the threshold of soundness is explored by one request at a
# time.
GRAY_SOUNDNESS_THRESHOLD = 0.25
MAX_EXPLORED_LOSS = 1.3
# A target is explored when no host has observed it for this time, or for the
# longer time if it is below the threshold of soundness.
EXPLORE_INTERVAL_MS = 200.0
EXPLORE_GRAY_INTERVAL_MS = 800.0
# When a service had no request that can be retried in this window, requests
# that may run only once are sent to targets that may have recovered: to each
# at most once in the interval, and only if its loss is below the maximum, which
# is near the loss of a target that was never observed.
RETRYABLE_WINDOW_MS = 10_000.0
RECOVERED_INTERVAL_MS = 1000.0
MAX_RECOVERED_LOSS = 0.4

# A target has room below this load, which is up to one request beyond its
# slots: that keeps it busy until other hosts are informed of a free slot.
MAX_TARGET_LOAD = 1.1
# Requests that wait for room take a free target whose loss is at most this much
# above that of the best one.
MAX_EXTRA_LOSS = 0.25
# Added to MAX_EXTRA_LOSS in proportion to the time waited, in full at the
# deadline.
MAX_EXTRA_LOSS_RISE = 0.4
# A queue is standing once a request has waited for this share of its target
# latency; then the newest requests are served first.
QUEUE_STANDING_SHARE = 0.25
# A queued request counts as if it had arrived this much later for each step of
# its rank; a higher rank is less urgent.
QUEUE_RANK_PENALTY_MS = 150.0
# After this many requests of a queue for which no target had room, the rest
# of the queue is left waiting.
MAX_FAILED_QUEUE_CHOICES = 3
# Mean interval at which a queue is checked for slots that other hosts released.
# It starts at a few times the delay of messages within a region and is doubled,
# up to the maximum, with each check that finds none, as many hosts then check.
# Each interval differs from the mean by up to this share.
MIN_QUEUE_CHECK_INTERVAL_MS = 20.0
MAX_QUEUE_CHECK_INTERVAL_MS = 320.0
QUEUE_CHECK_SPREAD = 0.5
# A request is refused when less than this many times the mean latency of its
# service is left until its deadline: most that would start then would not end
# in time.
MIN_RUN_TIME_FACTOR = 1.5
# Time that refused callers are asked to wait: about the time in which a
# standing queue drains.
OVERLOADED_RETRY_AFTER_MS = 1000.0

# What a target said in an answer is kept for this time after it is gone from
# the list of targets, as its entry may return.
TARGET_SIGN_TTL_MS = 600_000.0
# Limits that targets name, in requests a second: the least that is sent all the
# same, so that the end of a limit is seen; the relative change that counts; how
# long the hosts that take turns are kept before they are determined again; how
# long a slot may be used; and the longest round of turns.
MIN_LIMIT_PER_S = 0.25
LIMIT_CHANGE_SHARE = 0.1
LIMIT_SHARE_TTL_MS = 1000.0
LIMIT_SLOT_TTL_MS = 1000.0
MAX_LIMIT_ROUND_S = 16.0
# Longest time for which a host leaves a target alone at its request.
MAX_TARGET_PAUSE_MS = 600_000.0

# A host that was silent for longer is not named to callers, unless the settings
# of the host name another bound.
HOST_CONTACT_MS = 3000.0
# Hosts on the platform. Each sends a heartbeat to its zone at this interval.
# One that is silent for three intervals is lost, as the next check shows. Hosts
# of other zones are told by turns, this many of the region and of other regions
# at a time, and the timeouts grow with the number of turns.
HOST_HEARTBEAT_INTERVAL_MS = 1000.0
HOST_TIMEOUT_MS = 3500.0
HOST_EXPIRY_INTERVAL_MS = 300.0
REGION_HOSTS_PER_HEARTBEAT = 16
FAR_HOSTS_PER_HEARTBEAT = 1
OTHER_REGION_HOST_TIMEOUT_MS = 30_000.0
# Each of so many heartbeats brings the zone what the link of the host carries,
# which a host that is new to this one is told at once.
LINK_HEARTBEATS = 10
# Lost hosts of the own zone and of others that get a heartbeat at a time: they
# may have been cut off, and have lost this host as well.
LOST_ZONE_HOSTS_PER_HEARTBEAT = 8
LOST_HOSTS_PER_HEARTBEAT = 2
# How many hosts of a zone tell other zones of the hosts that it lost, for how
# long after the last message of a lost host, and how many at a time. With each
# heartbeat they tell those whose turn it is, which tell their zones.
# A host that has heard no other one for the longest silence reports nothing.
LOSS_REPORTERS = 2
MAX_REPORTER_SILENCE_MS = 2000.0
LOSS_REPORTED_MS = 10_000.0
MAX_REPORTED_LOSSES = 256
# A host that sent something to this one so long after the last message to those
# that report it as lost is kept: at least one more heartbeat was due.
LOSS_SLACK_MS = 2000.0
# In a fleet with more hosts, a changed profile is sent to the zone and to some
# hosts of each other zone at once, and by turns to the others.
MAX_ANNOUNCED_HOSTS = 64
# Lost hosts that are remembered, so that reports of others do not add them.
MAX_LOST_HOSTS = 4096
# Limits of messages between hosts: size of a datagram, and the time in which a
# snapshot is sent or received.
MAX_DATAGRAM_BYTES = 65_535
SNAPSHOT_TIMEOUT_MS = 1500.0
# An encoded snapshot is sent again for this time while the state is the same.
SNAPSHOT_REUSE_MS = 50.0
# Size of a change of the configuration that is sent in a datagram; hosts fetch
# larger ones.
MAX_DELTA_BYTES = 4096
# What is read from the store passes through a tree of the hosts of the region,
# in which each sends it to so many others; half as many in each of two trees if
# it has at most SMALL_NEWS_BYTES, which fit into a packet. News of more than
# MAX_NEWS_BYTES are fetched. The mark of a read follows its news after so many
# ticks, when most hosts have them.
NEWS_FAN_OUT = 8
SMALL_NEWS_BYTES = 1400
MAX_NEWS_BYTES = 32_768
NEWS_TICKS = 2
# Snapshots that a host sends at the same time; it refuses to send more.
MAX_SNAPSHOT_SENDS = 8
# Hosts that fetch newer state from the same host. The others wait for one of
# these: for each level of such hosts the time of a fetch of a configuration
# of a thousand routes, and a random time in addition.
RELAY_FAN_OUT = 4
RELAY_WAIT_MS = 400.0
RELAY_JITTER_MS = 200.0
# A host whose data are older than this share of CHANGE_SPREAD_LIMIT_MS waits no
# longer, and fetches from a host that it drew at random and that has more.
RELAY_HURRY_SHARE = 0.6
# A host that hears nothing of the others fetches from this share of its region,
# the first by rank. It reads the store itself if that hangs for longer, or once
# its data are older than this share of the limit.
ISOLATED_SOURCES_SHARE = 1 / 6
FETCH_HANGS_MS = 400
ISOLATED_READ_SHARE = 0.72
# Reads of the platform's store. All hosts are to receive a change within
# CHANGE_SPREAD_LIMIT_MS; the shares are of this time. The first host of a
# region reads when its data have the age READ_INTERVAL_SHARE. In case it fails,
# the host of rank n reads at READ_STALE_SHARE + n * READ_RANK_STEP_SHARE, with
# n at most MAX_READ_RANK; hosts of higher ranks follow one after the other
# within READ_TAIL_SHARE, until READ_LATEST_SHARE, if no host answers them. What
# is left is for a read,
# its retry, and a process that gets little processor time.
CHANGE_SPREAD_LIMIT_MS = 2000.0
READ_INTERVAL_SHARE = 0.25
READ_STALE_SHARE = 0.35
READ_RANK_STEP_SHARE = 0.02
MAX_READ_RANK = 6
READ_TAIL_SHARE = 0.08
READ_LATEST_SHARE = 0.55
# Hosts that leave the read to another host, which has newer state or is
# reading, read between these shares if they have not got it by then.
READ_POSTPONED_SHARE = 0.6
READ_POSTPONED_LATEST_SHARE = 0.7
# While an answer of the store is arriving, the other hosts are told of it at
# this interval, and leave the read to this host.
READ_NOTICE_INTERVAL_MS = 150.0
# A host whose data are older than READ_STALE_SHARE asks so many hosts of its
# region, and one of another, for what they know. It asks again at this interval
# as long as that holds; a report counts for so long after it was asked for.
STORE_QUERY_HOSTS = 3
STORE_QUERY_INTERVAL_MS = 200.0
STORE_REPORT_TTL_MS = 1000.0
# For how long the shortest transit of a host's messages is kept at least. What
# seems to have taken longer than MAX_TRANSIT_MS was sent after the clock of its
# sender started anew.
TRANSIT_WINDOW_MS = 60_000.0
MAX_TRANSIT_MS = 10_000.0
# Backoff after a failed read, doubled with each further failure up to this
# factor, or up to the number of hosts in the region divided by
# READ_BACKOFF_HOSTS if that is less.
MIN_READ_BACKOFF_MS = 300.0
MAX_READ_BACKOFF_FACTOR = 8
READ_BACKOFF_HOSTS = 4
# After reads of this many hosts of the region have failed, and this many hosts
# report that the store has answered nobody for this share of the limit, it
# counts as away, and hosts use the data that they have. A host that is alone
# counts each read that fails.
MIN_STORE_AWAY_FAILURES = 2
MIN_SILENT_REPORTS = 3
STORE_SILENT_SHARE = 0.6
# A host whose read failed is the last to read for this time, as the store may
# refuse it longer.
FAILED_READER_MS = 5000.0
# Up to this share of CHANGE_SPREAD_LIMIT_MS the list of targets may be old when
# a target is chosen by it, and the configuration when a request is routed,
# unless the store is away; then requests wait. The rest is for opening a
# connection and sending the request.
DATA_USE_SHARE = 0.8
# How long a request waits for a newer configuration before it is refused: the
# time of a read and its retry. And how often it checks for one.
CONFIGURATION_WAIT_MS = 600.0
CONFIGURATION_CHECK_INTERVAL_MS = 20.0
# Data of at least this age count as never read, as at the start of a host.
NEVER_READ_AGE_MS = 3_600_000.0
# The store counts as unavailable when no host has read it for this many
# intervals at which targets write their entries; removals of targets are then
# held back. Entries expire after three intervals without a write.
STORE_OUTAGE_HEARTBEATS = 2
# That interval, unless the settings of the host name another.
TARGET_HEARTBEAT_MS = 1500.0
# Time after an outage in which removals are still held back: targets write the
# entries that expired in it again within about two seconds.
OUTAGE_RECOVERY_MS = 2200.0

# Requests on the platform: time that a caller is asked to wait after a refusal,
# before another host or target may serve it; the shorter one if the host is
# stopping.
HOST_RETRY_AFTER_MS = 250.0
HOST_LEAVING_RETRY_AFTER_MS = 50.0
# An answer is sent this long before the timeout of the caller, to reach it in
# time.
ANSWER_MARGIN_MS = 60.0
# Timeout of opening a connection, which takes a few milliseconds in a region.
HOST_CONNECT_TIMEOUT_MS = 300.0
# Idle time after which a connection is not used again; targets close idle ones
# after some ten seconds.
HOST_CONNECTION_IDLE_MS = 5000.0
# Attempts of one request, including those that reached no target.
MAX_HOST_ATTEMPTS = 6
# A request that can be retried is hedged once its target is gray with this
# probability, as no answer came from it, but not while more than this share of
# the requests at sound targets would still be without an answer. With all
# retries used up it waits until only this share of retries would still be
# answered within the target latency.
HEDGE_GRAY_PROBABILITY = 0.75
MAX_HEDGED_SOUND_SHARE = 0.5
RETRY_FIT_SHARE = 0.9
# A request is not hedged when less than this share of retries would end in the
# time that is left.
MIN_HEDGE_FIT_SHARE = 0.5
# Target latency of a route that names none.
DEFAULT_TARGET_LATENCY_MS = 1500.0

# Addresses of hosts in an answer to a caller: how long they are valid; how many
# hosts of its zone, or else of its region, are enough to leave out others; and
# the maximum.
DIRECTORY_TTL_MS = 2000.0
MIN_DIRECTORY_ADDRESSES = 3
MAX_DIRECTORY_ADDRESSES = 64
# A host logs that its periodic work, due at each tick, was this late.
MIN_LOGGED_STALL_MS = 300.0
# A host that could not register tries again after this time, or as soon as it
# has read the store.
REGISTER_RETRY_MS = 5000.0
# How often a host checks whether a read of the store is due, and whether
# another host has newer state to fetch as a snapshot.
READ_CHECK_INTERVAL_MS = 100.0
SNAPSHOT_CHECK_INTERVAL_MS = 50.0

# Planned stop on the platform: the share of the grace period in which requests
# that still arrive are served, the maximum of that time, and the share at the
# end that is reserved for the exit of the process, which takes some 0.1 s, more
# on a busy host. A request sent up to 3 s after the signal may be cut off in
# the last sixth of the grace period. One sent later must end within the grace
# period and may not be cut off, so the host starts to refuse requests before
# 3 s have passed.
DRAIN_SERVE_SHARE = 0.45
MAX_DRAIN_SERVE_MS = 2700.0
DRAIN_MARGIN_SHARE = 0.08
# Bodies and answers up to this size are buffered in full, to be sent again; a
# host has memory for some hundred of them.
HOST_BODY_BUFFER_BYTES = 512 * 1024

# A host names more new targets than this in one log line.
MAX_LOGGED_TARGETS = 16
# Logs of a host: the rate limit, which is the rate that operators keep; the
# burst; and the bytes that are buffered while nobody reads them.
LOG_BYTES_PER_SECOND = 30_000.0
LOG_BURST_SECONDS = 4.0
LOG_BUFFER_BYTES = 256 * 1024
# A request that crashes targets is refused for a long time; its caller is asked
# to wait for this time.
QUARANTINE_RETRY_AFTER_MS = 30_000.0
# How often a host checks whether its settings file has changed, which may
# happen without a signal.
SETTINGS_CHECK_INTERVAL_MS = 2000.0
# Observations of a target within this time before a request are part of the
# explanation of the request.
EXPLANATION_WINDOW_MS = 3000
# Targets that left or were removed, of which a host remembers the last entry:
# a store that comes back from an older copy may list them as they were before.
MAX_ENDED_TARGETS = 20_000
# After such a return the hosts of a region write their profiles again, one by
# one at this interval.
REGISTER_SPREAD_MS = 10

"""Constants of admission over the fleet and of the costs of routes."""

# Work (time at targets) and answer sizes of a route are learnt by this host
# alone. Means decay by sample, so that a route that changes its kind of work
# is known again after some tens of requests. The high quantile moves by this
# share of the mean at each answer; 0.9 of the answers don't exceed it.
ROUTE_COST_SAMPLES = 32
ROUTE_WORK_QUANTILE = 0.9
ROUTE_QUANTILE_STEP = 0.1

# Hosts tell their zone what waits at most this often, and for this time after
# nothing waits any more, as the rates of arrivals are in the report, too.
QUEUE_REPORT_INTERVAL_MS = 100.0
QUEUE_REPORT_LINGER_MS = 1000.0
# Reports older than this don't count: four intervals, so that lost datagrams
# don't change a decision. A host that heard nothing from its zone for longer
# than the second time decides by its own queue alone.
QUEUE_REPORT_MAX_AGE_MS = 400.0
ZONE_SILENCE_MS = 500.0
# Time constant of the decaying rate of arrivals.
ARRIVAL_RATE_MS = 1000.0

# Requests are refused early only while the zone needs more than this share of
# the request's target latency to start all that waits. Waits are shorter below
# the room of a service, where hosts wait for news of free slots only.
SHORT_WAIT_SHARE = 0.2
# A request waits if its turn should come within this share of the time that
# its expected work leaves of its target latency, so that variations of work
# and arrivals don't make most of those that wait late.
TIMELY_WAIT_SHARE = 0.6
# A request that should have started a tenth of its deadline ago and still has
# no turn in sight is refused. Before that time the rank of a request that
# waits is judged by the queue that it found.
FORESEEN_SHARE = 0.1
# Each rank is served at least this share as often as all requests: the required
# quarter, and a margin for rounding on hosts with few requests. Three equal
# ranks get one start in ten each that way.
MIN_SERVED_SHARE = 0.3
MAX_GUARANTEED_STARTS = 2.0
# Refused callers retry between one and two times the time that the backlog
# needs, and within these bounds.
MIN_BACKLOG_RETRY_MS = 500.0
MAX_BACKLOG_RETRY_MS = 10_000.0
# A workspace with more than this many times an equal share of a host's recent
# requests waits less long for its turn, by the excess, before it is refused.
FAIR_SHARE_FACTOR = 2.0
MIN_FAIRNESS = 0.25
# Workspaces whose recent requests are counted on a host.
MAX_COUNTED_WORKSPACES = 1024
# More work is admitted than the slots in use can take, by this factor, as some
# of what is admitted ends early, and so that no slot is left without a request.
ADMITTED_MARGIN = 1.1
# The slots that a zone uses are counted again after this time, as they are
# known with a delay of about as much and the count reads all targets.
USED_SLOTS_MAX_AGE_MS = 50.0

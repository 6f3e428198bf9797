"""Constants of admission over the fleet, costs of routes and preferences."""

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
SHORT_WAIT_SHARE = 0.3
# A rank is admitted while its turn should come within this share of the time
# that its expected work leaves of its target latency, so that variations of
# work and arrivals don't make most of those that wait late.
TIMELY_WAIT_SHARE = 0.6
# A request that has waited for this share of its time is refused if all else
# that waits and arrives leaves it no start before its deadline.
FORESEEN_SHARE = 0.1
# Each rank is served at least this share as often as all requests: the required
# quarter, and a margin for rounding on hosts with few requests. Each of three
# equal ranks is kept one start in ten that way.
MIN_SERVED_SHARE = 0.3
MAX_GUARANTEED_STARTS = 2.0
# Refused callers retry between one and two times the time that the backlog
# needs, and within these bounds.
MIN_BACKLOG_RETRY_MS = 500.0
MAX_BACKLOG_RETRY_MS = 10_000.0
# A workspace with more than this share of a host's recent requests is admitted
# less often, in proportion, while the service is short of room. The largest of
# 83 workspaces whose sizes follow Zipf's law with exponent 1.2 has 0.28.
# Fewer requests than the last figure, over about the time, tell nothing.
MAX_WORKSPACE_SHARE = 0.35
WORKSPACE_SHARE_MS = 5000.0
MIN_WORKSPACE_REQUESTS = 10
# Workspaces whose recent requests are counted on a host.
MAX_COUNTED_WORKSPACES = 1024
# The slots that a zone uses are counted again after this time, as they are
# known with a delay of about as much and the count reads all targets.
USED_SLOTS_MAX_AGE_MS = 50.0
# The most slots that were used within this time count, as a service doesn't
# lose its room each time that hosts wait for a target known to be sound.
USED_SLOTS_WINDOW_MS = 2000.0

# Hosts of a zone that prefer each of its targets. With one, the requests for a
# target would wait for other hosts to learn that this host is gone.
PREFERRING_HOSTS = 2
# A host compares its own targets first while the probability that they are
# sound is at least this, which a target that answered has for three seconds.
MIN_PREFERRED_SOUNDNESS = 0.85
# Of the drawn targets, those within this margin of the lowest loss are equally
# good while hosts prefer their own. With 0.03, hosts whose own targets are full
# choose the few that have just answered, and find them full: at 1.1 times the
# capacity 124 hosts got 5 % fewer answers in the model.
DRAWN_LOSS_MARGIN = 0.1
# A host sends a request that may run only once to an own target that it doubts
# when no host has observed it for this time, if the service has no others. It
# is below the two seconds in which most sound targets must get requests; with
# 2.5 s up to a tenth got none in the model. Most such requests fail, so this is
# done only while at least this share of the recent attempts fails: operators
# ask for it from a tenth on.
DOUBTED_INTERVAL_MS = 1700.0
MIN_DOUBTED_FAILURE_SHARE = 0.08
# Time constant of the shares of failures.
FAILURE_SHARE_MS = 2000.0
# The cost of a target in another region includes an answer of this size; what
# exceeds it costs as much as the same bytes of a request.
INCLUDED_ANSWER_BYTES = 4000

"""Constants of keys and quotas of workspaces."""

# A removed key stops working within this time if the settings name no other
# (`revoke_s`).
REVOKE_MS = 5000.0

# Window of the bound on the requests of a workspace if the settings name no
# other (`quota_window_s`).
QUOTA_WINDOW_MS = 5000.0
# Part of the overage and slack of the bound that the buckets of all zones hold
# together. The rest covers the time in which a zone has two granters.
BUCKET_EXTRA_SHARE = 0.5
# A smaller bucket would never give a permit.
MIN_BUCKET_TOKENS = 1.0

# How long a host waits for a granter of its region and of another one; one way
# between regions takes 12 ms. Half of it later the request is repeated.
NEAR_PERMIT_TIMEOUT_MS = 40.0
FAR_PERMIT_TIMEOUT_MS = 80.0
# A granter that did not reply is not asked for this time.
SILENT_GRANTER_MS = 1000.0
# Hosts of a zone that are asked in turn while the earlier ones are silent, and
# referrals to others that are followed in a zone.
GRANTERS_PER_ZONE = 2
MAX_REFERRALS = 2
# A request waits for a permit for this share of its target latency at most,
# and for this time.
PERMIT_WAIT_SHARE = 0.1
MAX_PERMIT_WAIT_MS = 100.0
# Shortest pause before a zone is asked again that has refused.
MIN_REFUSAL_MS = 5.0
# Hosts that a zone refuses ask again one after the other, as tokens come, but
# at most this long after the next token. Without it a hot workspace caused 14
# datagrams a request, most of them at four granters.
MAX_REFUSAL_SPREAD_MS = 250.0

# A granter that stood still for longer starts again with empty buckets.
GRANTER_PAUSE_MS = 1000.0
# So does one that heard no other host of its zone for this time. Heartbeats
# come every second, so it must be longer than that.
GRANTER_SILENCE_MS = 2500.0
ISOLATION_CHECK_MS = 250.0
# How long a host of the zone that was lost keeps its part of the zone's rate:
# it may run on the other side of a partition.
LOST_HOST_MS = 600_000.0
# How long a granter knows the numbers of permits, so that a repeated request
# gets no second one and an unused permit can be returned.
PERMIT_MEMORY_MS = 10_000.0
# Buckets that nobody asked for are dropped after this time.
IDLE_BUCKET_MS = 60_000.0
# Buckets handed over in one datagram; it stays below 1500 bytes.
HANDOVER_BUCKETS = 32

"""Constants of package `routing`: costs of routes."""

# Work (time at targets) and answer sizes of a route are learnt by this host
# alone. Means decay by sample, so that a route that changes its kind of work
# is known again after some tens of requests. The high quantile moves by this
# share of the mean at each answer; 0.9 of the answers don't exceed it.
ROUTE_COST_SAMPLES = 32
ROUTE_WORK_QUANTILE = 0.9
ROUTE_QUANTILE_STEP = 0.1

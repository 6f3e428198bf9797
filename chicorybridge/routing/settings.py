"""Constants of the choice of targets by several hosts at a time."""

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
# 2.5 s up to a tenth got none in the model.
DOUBTED_INTERVAL_MS = 1700.0

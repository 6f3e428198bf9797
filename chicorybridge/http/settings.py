"""Constants of connections from callers and targets."""

# Requests on one connection that a host reads and starts while an earlier one
# is unanswered. Each may hold a buffered body and a buffered answer.
MAX_READ_AHEAD = 8

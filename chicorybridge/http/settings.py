"""Constants of connections and of the memory that a host holds for them."""

# Requests on one connection that a host reads and starts while an earlier one
# is unanswered. Each may hold a buffered body and a buffered answer.
MAX_READ_AHEAD = 8
# Share of the memory budget above which no request is read ahead.
READ_AHEAD_HELD_SHARE = 0.5

# Memory of the machine of a host whose settings don't give it, in megabytes:
# enough for all connections of callers, each with the largest buffered body.
DEFAULT_MEMORY_MB = 4096
# Share of the memory of the machine that may be held for callers and targets.
# The rest is for the program (40 MB), the data of the fleet, copies while a
# message is sent, and memory that the allocator can't return.
HELD_SHARE = 0.3
# Bodies are evicted until this share of the budget is held, so that the next
# search is not due at once.
EVICT_DOWN_TO_SHARE = 0.95
# Without anything to evict, the next search comes after this share of the
# budget was added.
SEARCH_STEP_SHARE = 0.01
# A holding without progress for longer counts as stopped; longer waits are
# compared in whole multiples of this time, so that of holdings that stopped
# together the largest goes first.
STOPPED_MS = 1000

# Fixed cost of an open connection: 6 KB measured for parser and task, and the
# socket in the kernel.
CONNECTION_BYTES = 16 * 1024
# Fixed cost of a request, and of each header of its head.
REQUEST_BYTES = 8 * 1024
HEADER_BYTES = 320
# Buffers in the kernel: what is received from a caller and what is sent to it,
# and what is received from a target. A body that isn't read fills the first,
# an answer that isn't read the others; without a limit 100 such answers took
# 470 MB. 256 KiB carry 85 Mbit/s at a round trip of 24 ms.
KERNEL_RECEIVE_BYTES = 128 * 1024
KERNEL_SEND_BYTES = 256 * 1024
KERNEL_TARGET_BYTES = 256 * 1024
# Shorter writes are not counted; longer ones are made in pieces of this size,
# so that a caller that reads slowly is told from one that doesn't read.
COUNTED_WRITE_BYTES = 16 * 1024
WRITE_PIECE_BYTES = 128 * 1024
# Shorter chunks of a body are joined into buffers of this size: an object for
# each chunk of 2 bytes takes 28 times the memory of its bytes.
JOINED_CHUNK_BYTES = 4 * 1024
JOINED_BUFFER_BYTES = 64 * 1024

# Memory is returned to the system when this much less is held than at the last
# peak, at most once in this time, as it takes milliseconds.
RETURN_AFTER_BYTES = 8 * 1024 * 1024
RETURN_INTERVAL_MS = 2000

# Bytes of one answer that are read from its target and that its caller has yet
# to read. Above the largest answers of the two loads, which have 540 KB, so
# that these are read at once.
MAX_HELD_ANSWER_BYTES = 1024 * 1024

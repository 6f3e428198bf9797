"""HTTP/1.1 through h11: callers, targets, whole messages.

Start with `exchanges`, what both sides share, then `caller_connections`
and `connections`. Imports `common`.
"""

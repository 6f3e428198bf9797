"""Idempotency keys: a request with a key runs at most once.

Start with `claims`, then `claim_owners`. Decisions only.
"""

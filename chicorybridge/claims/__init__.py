"""Idempotency keys: a request with a key runs at most once.

A keyed request carries an Idempotency-Key header. Each time a caller sends
it to an entry process is one attempt. The owner of the key, a control
process, keeps a claim for the key and grants it to at most one attempt at
a time; the attempt that holds the claim may send the request to a target.

Start with `claims`, then `claim_owners`. Except for
`claim_clients`, the modules only make decisions; they do no input or
output.
"""

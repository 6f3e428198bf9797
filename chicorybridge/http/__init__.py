"""HTTP/1.1 on h11 and curio: the caller side, the target side and a client.

Start with `exchanges`, which both sides share, then `caller_connections`
and `target_connections`. `servers` and `clients` handle buffered messages
only; the fleet's own requests and the stand-ins use them. Imports `common`.
"""

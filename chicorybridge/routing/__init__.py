"""Which target gets a request, and whether it is tried again.

Start with `reputations`, what all hosts saw of a target last, then
`selections`, the choice among the targets of a service, and `allowances`,
the retries that a host may add to the load. Decisions only: nothing here
opens a socket.
"""

"""Selection of the target of a request, admission and retries.

`reputations` estimates the state of each target from the results on all
hosts, `selections` chooses among the targets of a service, and
`allowances` limits the retries of a host. The package only decides; it
opens no socket.
"""

"""The process that runs on each host of the platform.

It joins the data plane of an entry with what the hosts of the fleet know
together. Start with `processes`, which joins the parts, then
`dispatchers`, what happens to one request.
"""

"""The entry process: receives callers' requests and forwards them to targets.

Start with `entry_processes`, which builds the components, then read
`dispatchers`, which handles one request. The package imports the packages
that make decisions and, of `control`, only `streams`.
"""

"""Client of the platform that stores rows, objects and the host list.

Read `stores` first, which defines the requests and their replies.
"""

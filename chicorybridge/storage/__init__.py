"""Requests to the project's own table service, and their client.

Read `stores` first, which defines the requests and their replies.
"""

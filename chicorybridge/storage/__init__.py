"""Requests to the product's own table service, and its client.

Start with `stores`.
"""

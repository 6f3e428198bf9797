"""Whole regions of hosts: what all of them know in time."""

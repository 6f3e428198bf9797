"""Workspaces: their keys, and the limits on their requests."""

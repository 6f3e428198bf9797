"""Declarations: files, versions, and how one is in force on every host.

Start with `declarations`, then `rollouts`. Decisions only.
"""

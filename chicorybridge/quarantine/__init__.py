"""Refusal of requests that crash targets.

Start with `suspects`, which decides, then `quarantines`, which each process
keeps; `crash_reports` has the messages and `suspect_views` what hosts share.
"""

"""Load, experiments and reports.

Start with `loads`, the binary, then `runs`.
"""

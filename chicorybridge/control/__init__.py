"""The control process of a host: its decision systems and its streams.

Read `control_processes` first, then `control_systems`.
"""

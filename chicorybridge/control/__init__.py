"""The control process: the decision systems and the streams around them.

Start with `control_processes`, then `control_systems`.
"""

"""Declarations: files, versions, and their rollout to every host.

Start with `declarations`, then `rollouts`. Apart from the readers of files,
the modules only decide; the control process does all input and output.
"""

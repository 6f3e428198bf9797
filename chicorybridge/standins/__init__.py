"""Emulators of the platform and of targets, for experiments and tests.

Start with `standins`, the command line, then `emulators`.
"""

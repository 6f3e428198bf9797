"""Stand-ins for the platform and for targets, for trials and tests.

Start with `standins`, the binary, then `emulators`.
"""

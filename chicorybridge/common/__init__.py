"""Modules that all other packages use: clocks, ids, errors, events, codecs.

Start with `systems`, the base of all decisions, and `events`. This package
imports nothing of the project but `settings`.
"""

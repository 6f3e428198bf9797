"""The entry process: one request of a caller, from its head to its answer.

Start with `entry_processes`, which joins the parts, then `dispatchers`.
Imports the packages of decisions, never `control`.
"""

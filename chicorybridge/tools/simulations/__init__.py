"""Randomised runs of the real decisions under faults.

Start with `fleetruns`.
"""

"""Randomised simulations of the real decision code under faults.

`fleetruns` simulates a whole fleet.
"""

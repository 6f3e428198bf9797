"""Randomised simulations of the real decision code under faults.

`fleetruns` and `configuration_runs` simulate configurations, the latter
against the specification; `claim_runs` simulates claims, `detection_runs` and
`floor_runs` ejections.
"""

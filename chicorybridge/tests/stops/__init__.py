"""Randomised tests of planned stops of host programs under load.

`plans` draws the load, configurations and signals from a seed, `runs` carries
them out with real processes on loopback, and `breaches` checks the promises
against what callers and targets recorded. To repeat seeds:

    python -m chicorybridge.tests.stops SEED [SEED ...]
"""

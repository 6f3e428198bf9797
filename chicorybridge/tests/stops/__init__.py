"""Randomised runs of host programs under load that are stopped on the way.

`plans` draws what happens from a seed, `runs` carries it out with real
processes on loopback, `breaches` judges what callers and targets saw.

    python -m chicorybridge.tests.stops SEED [SEED ...]
"""

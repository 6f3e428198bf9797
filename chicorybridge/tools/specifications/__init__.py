"""Specifications of the core protocols, for a model checker.

The shared types are in `specifications`.
"""

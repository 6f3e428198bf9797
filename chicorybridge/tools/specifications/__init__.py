"""Specifications of the core protocols, for the model checker.

Start with `specifications`.
"""

"""Tests of the package load."""

"""Tests of admission over the fleet."""

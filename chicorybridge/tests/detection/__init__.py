"""Tests of the package detection."""

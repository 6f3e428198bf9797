"""Tests of the package common."""

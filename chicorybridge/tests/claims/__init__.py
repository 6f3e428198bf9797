"""Tests of the package claims."""

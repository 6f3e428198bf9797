"""Tests of hosts whose callers pipeline requests."""

"""Tests of the host process with a fake store and targets on loopback."""

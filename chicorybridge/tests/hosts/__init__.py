"""Tests of the process of a host, against stand-ins on loopback."""

"""Tests of the package platform, and stand-ins for what it speaks with."""

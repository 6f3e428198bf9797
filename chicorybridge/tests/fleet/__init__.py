"""Tests of membership, targets and other state that hosts share."""

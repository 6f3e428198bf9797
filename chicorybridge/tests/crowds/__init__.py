"""Tests of callers that send more than a host can hold."""

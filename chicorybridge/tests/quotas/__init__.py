"""Tests of keys and quotas of workspaces."""

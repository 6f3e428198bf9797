"""Tests of the package configuration."""

"""Tests of the package http."""

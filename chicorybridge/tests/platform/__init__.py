"""Tests of the package platform, and a fake of the platform's store."""

"""Command-line interface for operators.

Read `commands` first, which defines most commands and the entry point.
"""

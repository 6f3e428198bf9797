"""The command line of operators.

Start with `commands`.
"""

"""The load generator: experiments, their results and reports.

Start with `loads`, the command line, then `runs`.
"""

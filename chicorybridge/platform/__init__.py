"""Adapter to the outer platform: its headers, formats and HTTP calls.

Read `formats` first, which decodes the platform's rows and configuration
into types of this project, then `stores`, the client of the platform's
store. This package translates and contains no decision logic.
"""

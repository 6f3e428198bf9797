"""What every other package uses: clocks, ids, errors, events, codecs.

Start with `systems`, the shape of every decision, and `events`. Imports
nothing but `settings`.
"""

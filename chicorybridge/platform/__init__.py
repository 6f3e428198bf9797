"""The users' platform: names, formats and calls, translated and nothing else.

Start with `formats`, which decodes rows and configurations into the types
of the project, then `stores`, the client of the platform's store. The
package may import types of the project; nothing here decides.
"""

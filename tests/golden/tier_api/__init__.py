"""Adapter between the golden tests and the serving tier; the only part of them that imports its internals.

Objects are constructed with positional arguments, so that a renamed field changes nothing here and a renamed or moved
class changes only the imports. What the tests compare (bytes on a wire, rows of a database) stays as it is in `tier/`.
"""

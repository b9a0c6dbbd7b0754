"""Reads, checks, explains and shows every value that an operator or the platform may set.

The keys with their units, ranges and defaults are in `sections`, the order of the layers (flags, the platform's file
and variables, the operator's file, defaults) in `loading`. No other package of the program is imported here.
"""

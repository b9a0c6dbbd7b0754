"""Reads, validates and documents every value that an operator or the platform can set.

`sections` defines the keys with their units, ranges and defaults; `loading` defines the precedence of the layers
(flags, the platform's file and variables, the operator's file, defaults). This package imports no other package of
dewpin.
"""

"""Adapter between the golden tests and the sender's packages.

The tests and the scripts that recorded the fixtures use only bytes and plain values, so that a rename in `dewpin`
affects only this package of `tests/golden`.
"""

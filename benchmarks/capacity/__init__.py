"""Measured slopes, extrapolated to the target fleet, written into the tables of docs/CAPACITY.md."""

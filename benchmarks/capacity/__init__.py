"""Capacity planning: measured costs, extrapolated linearly to the target fleet, for the tables of docs/CAPACITY.md."""

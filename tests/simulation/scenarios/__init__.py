"""Scenarios for the five points of `docs/control-safety.md`. Each draws times and affected machines from the seed."""

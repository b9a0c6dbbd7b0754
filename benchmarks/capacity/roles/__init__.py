"""Figures at the target, one module for each role and one for failures."""

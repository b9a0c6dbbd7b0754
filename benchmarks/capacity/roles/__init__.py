"""Figures at the target: a module for each role, and one for failures.

Functions that return rows can be long, because each is a flat list of rows.
"""

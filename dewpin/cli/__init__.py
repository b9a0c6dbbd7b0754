"""The command line: what people and scripts ask of dewpin, on the machine where it runs.

Arguments, tables, exit codes and sentences for people are defined here; the facts come from the other packages. What a
command reads of a running sender it never changes.
"""

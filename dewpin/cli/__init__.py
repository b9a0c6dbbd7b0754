"""The command line: what people and scripts ask of dewpin, on the machine where it runs.

It owns arguments, tables, exit codes and sentences for people. It asks the other packages for facts and decides
nothing; what it reads of a running sender it never changes.
"""

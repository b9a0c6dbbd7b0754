"""The command line of dewpin, for operators and scripts on the machine where a sender runs.

This package defines arguments, output, exit codes and error messages; other packages provide the data. Commands that
inspect a running sender never modify its state.
"""

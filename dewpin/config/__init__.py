"""Where every value that an operator or the platform may set is read, checked, explained and shown.

It owns the keys with their units, ranges and defaults, the order of the layers (flags, the platform's file and
variables, the operator's file, defaults), and the words of every fault. It decides nothing about a mail and imports no
other package of this program: the process and the command line ask it.
"""

"""The journal in the folder that lasts: its format, its one writer, and readers that change nothing.

It owns the files of `state` and their size. It knows no wire and decides nothing about a mail.
"""

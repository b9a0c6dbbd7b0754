"""One sender as a process: start, ready, signals, stop, and what it tells of itself on the control socket.

It is the only package that puts the others together. It decides nothing about a mail.
"""

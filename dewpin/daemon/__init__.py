"""One sender as a process: start, readiness, signals, shutdown, and its status on the control socket.

This is the only package that puts the other packages together. It makes no decision about a message.
"""

"""The process of a sender: start, readiness, signals, shutdown, and status on the control socket.

This is the only package that assembles the other packages. It makes no decisions about messages.
"""

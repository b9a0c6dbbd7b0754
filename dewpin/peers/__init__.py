"""Coordination between senders that may talk to each other: membership and leases. In work; docs/peers.md says what
stands.

The protocols are free of I/O; `node` connects them to a socket and a file. No sender imports this package yet, and on
the platform nothing of it runs.
"""

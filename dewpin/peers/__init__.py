"""Duties that one sender holds at a time, where senders may talk. Begun: docs/peers.md says what stands.

It owns the protocol of leases, free of I/O, its messages, and one thin module with the socket and the file. The daemon
does not import it yet; on the platform nothing of it may run.
"""

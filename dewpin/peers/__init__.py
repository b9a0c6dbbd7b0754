"""Peer-to-peer coordination of senders that can reach each other: membership and leases.

Experimental; docs/peers.md describes the status. The protocols do no I/O; `node` connects them to a socket and a file.
No sender imports this package yet, and the platform runs none of it.
"""

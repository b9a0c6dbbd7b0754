"""Real senders against a world of our own on loopback: agents, receivers, clients and the links between any two.

An extra of the laboratory; docs/fleet.md tells how to use it.
"""

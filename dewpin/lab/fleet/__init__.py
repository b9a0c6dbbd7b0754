"""A load test with fault injection: real senders, with agents, receivers, clients and links of our own on loopback.

An extra of the laboratory; docs/fleet.md says how to use it.
"""

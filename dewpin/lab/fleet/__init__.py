"""A load test with fault injection: real senders, with simulated agents, receivers, clients and links on loopback.

docs/fleet.md describes its use.
"""

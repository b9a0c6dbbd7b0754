"""Components of the tier in one test process: a virtual clock, storage in memory, and a network with scripted faults.

The unit of the network is a whole call, so that a test decides about a single call in one line. Connections with
their bytes and random faults are simulated in `tests/simulation`.
"""

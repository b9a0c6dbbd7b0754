"""Stand-ins for the systems that the tier communicates with, and a launcher for the whole tier on one machine.

The platform, receivers, operator and client implement the tier's external protocols without its code, so that they test
the protocols independently; only `system_view` uses an internal protocol. `python3 -m dewpin.standin tier` starts all
of them as real processes on loopback addresses (on Linux, where all of 127.0.0.0/8 can be used).
"""

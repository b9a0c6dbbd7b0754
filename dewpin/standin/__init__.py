"""Stand-ins for what surrounds the tier, and the whole tier on one machine.

A platform, receivers, an operator and a client implement the tier's external protocols without its code, so that they
test the protocols independently; only `system_view` uses an internal one. `python3 -m dewpin.standin tier` starts
everything as real processes on loopback addresses (Linux, where all of 127.0.0.0/8 can be used).
"""

"""Stand-ins for what surrounds the tier, and the whole tier on one machine.

A platform, receivers, an operator and a client speak to the tier without any of its code, so that they check what it
speaks and not what it believes to speak; only `system_view` looks inside. `python3 -m dewpin.standin tier` starts
everything as real processes on loopback addresses (Linux: all of 127.0.0.0/8 is there).
"""

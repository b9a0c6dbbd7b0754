"""Stand-ins for what surrounds the tier, and the whole tier on one machine.

A platform, receivers, an operator and a client, small and without any code of the tier, so that they check what the
tier speaks and not what it believes to speak. `python3 -m dewpin.standin tier` starts everything as real processes on
loopback addresses (Linux: all of 127.0.0.0/8 is there).
"""

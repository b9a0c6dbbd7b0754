"""Parts of the tier in one process of tests, call by call: a clock that jumps, disks in memory, scripted links.

Calls are carried whole, so a test says in a line what happens to one of them. What goes over connections, byte by byte
and with drawn faults, is simulated in `tests/simulation`.
"""

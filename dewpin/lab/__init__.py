"""The laboratory: the program in simulated time. An extra; the daemon never imports it.

It owns the simulated clock, network and (in work) disk, destinations and load. It must never be needed to run a sender.
"""

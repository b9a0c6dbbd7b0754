"""Simulated runs of the control side and its clients: both programs' code on a simulated loop, network and disks."""

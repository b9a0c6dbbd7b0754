"""Simulates the control plane and its clients: the code of both programs on a simulated loop, network and disks."""

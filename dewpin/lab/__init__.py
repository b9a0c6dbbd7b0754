"""Simulated time and network, and a load test of real senders. Never imported by a running sender."""

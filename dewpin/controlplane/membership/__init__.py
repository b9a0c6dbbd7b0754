"""Membership of the control plane: heartbeats, quorum contact, reconfiguration and sender leases."""

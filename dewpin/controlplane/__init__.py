"""The control plane: the system state, leases of senders, the platform's list, the operator's API, the stores."""

"""The control plane: system state, sender leases, the platform's list of receivers, the operator API, and stores."""

"""The replicated register that holds the system state, and its reconfiguration."""

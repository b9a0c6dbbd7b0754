"""The replicated register that holds the system state."""

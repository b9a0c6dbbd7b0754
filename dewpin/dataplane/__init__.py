"""The data plane: the sender, which forwards clients' requests to receivers."""

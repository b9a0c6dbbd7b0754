"""The data plane: the sender that takes clients' requests and forwards them to receivers."""

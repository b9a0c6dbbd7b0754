"""Code shared by the control plane and the data plane: settings, configuration, RPC messages, errors."""

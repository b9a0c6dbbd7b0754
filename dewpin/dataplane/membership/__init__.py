"""The sender's cluster membership: lease, relay tree, configuration and receiver list."""

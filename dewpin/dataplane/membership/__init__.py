"""The sender's membership of the cluster: lease, relay tree, configuration and receiver list."""

"""The HTTP server for clients, and the readiness check that the platform calls."""

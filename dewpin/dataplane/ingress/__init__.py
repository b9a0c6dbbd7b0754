"""The HTTP server for clients and the readiness endpoint for the platform."""

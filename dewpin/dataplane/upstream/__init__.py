"""Calls to receivers over HTTP/1.1, with connection pooling."""

"""Calls to receivers over HTTP/1.1, and the connections that carry them."""

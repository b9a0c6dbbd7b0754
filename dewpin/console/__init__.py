"""The operators' console: HTTP/1.1 at an address of its own, one call to a connection.

`calls` defines the calls and their responses, without I/O; `server` has the listener and its connections. What a call
asks for is read off, or passed on to, the components that own it.
"""

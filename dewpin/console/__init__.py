"""The operators' console: HTTP/1.1 on a separate address, one request per connection.

`calls` defines the requests and their responses, without I/O; `server` contains the listener and its connections.
Requests are delegated to the components that own the state concerned.
"""

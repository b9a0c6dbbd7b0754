"""HTTP/1.1 messages and server-sent events: parsing and formatting, without I/O."""

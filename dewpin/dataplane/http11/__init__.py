"""HTTP/1.1 messages of clients and receivers: parsing, formatting and event streams, free of I/O."""

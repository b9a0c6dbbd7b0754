"""HTTP/1.1 on sockets: what comes in, what goes out, and the platform's agent."""

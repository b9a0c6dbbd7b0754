"""HTTP/1.1 on asyncio: the server for clients, calls to receivers, and connections to the platform's agent."""

"""Request routing: route and service selection, attempts, retries and event streams."""

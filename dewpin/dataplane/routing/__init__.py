"""From a client's request to its response: route, attempts, retries and streams."""

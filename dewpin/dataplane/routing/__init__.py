"""From a request to its response: route and service, attempts, retries, event streams."""

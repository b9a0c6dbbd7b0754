"""Load balancing: selects a receiver for each attempt and queues requests that wait for a slot."""

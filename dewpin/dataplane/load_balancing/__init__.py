"""Load balancing: the choice of a receiver for each attempt, and the queue of requests that wait for a slot."""

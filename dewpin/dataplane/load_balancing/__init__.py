"""The choice of a receiver for each attempt, and the queue of requests that wait for one."""

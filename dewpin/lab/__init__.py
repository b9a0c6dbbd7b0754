"""The laboratory: simulated time and network, and a load test of real senders. No sender ever imports it."""

"""Who is alive: heartbeats between control servers, quorum contact, leases of senders."""

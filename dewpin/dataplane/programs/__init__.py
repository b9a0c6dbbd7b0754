"""Conversation state of agent programs: the client of the stores' turns and budget ledgers."""

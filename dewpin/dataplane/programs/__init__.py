"""Conversation state of agent programs: the store client for turns and budget ledgers."""

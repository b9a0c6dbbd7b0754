"""The sender's stored data: the message journal, the endpoint cache, the hand-over log and the lock on their folder.

One process at a time writes to the folder; the inspector reads it without changing anything. The package knows no wire
format and decides nothing about a message.
"""

"""The sender's persistent data: the message journal, the endpoint cache, the hand-over log and the folder lock.

One process at a time writes to the folder; the inspector reads it without modifying it. The package implements no
network protocol and makes no decisions about messages.
"""

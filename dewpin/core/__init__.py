"""The decisions of a sender: which receiver gets a message, whether it is retried, what is deferred or rejected.

`dispatcher.Dispatcher` is the only way in, `model` holds the types of its interface. Nothing here reads a clock, opens
a socket or imports asyncio, and nothing here knows another package of this program.
"""

"""Decision logic of a sender: which receiver gets a message, whether it is retried, what is deferred or rejected.

`dispatcher.Dispatcher` is the only entry point; `model` defines the types of its interface. Nothing in this package
reads a clock, opens a socket, or imports asyncio or another package of this program.
"""

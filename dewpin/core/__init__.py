"""Decisions and the facts they stand on: which server, whether again, what to turn away.

It owns the decision module and the types of its interface. It never reads a clock, opens a socket or imports asyncio,
and it knows no other package of this program.
"""

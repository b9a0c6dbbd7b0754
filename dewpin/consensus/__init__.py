"""A replicated compare-and-swap register (CASPaxos): ballots, replicas and proposals as state machines without I/O."""

from .proposal import Accept, Outcome, Prepare, Proposal, Request, Result, majority_of
from .replica import Accepted, Ballot, Conflict, Promise, Replica, Reply

__all__ = [
    "Accept",
    "Accepted",
    "Ballot",
    "Conflict",
    "Outcome",
    "Prepare",
    "Promise",
    "Proposal",
    "Replica",
    "Reply",
    "Request",
    "Result",
    "majority_of",
]

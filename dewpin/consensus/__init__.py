"""A replicated compare-and-swap register: ballots, replicas and proposals, free of I/O."""

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

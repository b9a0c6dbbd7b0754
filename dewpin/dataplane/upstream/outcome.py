"""The outcomes of one call to a receiver, and what each proves."""

from enum import Enum, unique


@unique
class Outcome(Enum):
    """How a call ended."""

    SUCCESS = "success"
    """A whole answer, signed by the receiver, that is no server error."""
    NOT_EXECUTED = "not_executed"
    """The receiver told that it did not run the request (`X-Dewpin-Not-Executed` or 421)."""
    NEVER_SENT = "never_sent"
    """No connection came up, so no byte of the request left."""
    ERROR = "error"
    """The receiver answered with an error and without proof that the request did not run."""
    RESET = "reset"
    """The connection was reset after the request was sent."""
    CLOSED = "closed"
    """The connection was closed before the answer was whole."""
    TIMED_OUT = "timed_out"
    """The time of the request ended; that proves only that the caller stopped waiting."""
    MALFORMED = "malformed"
    """What came was no answer in the protocol, or the answer to another request."""
    CLIENT_GONE = "client_gone"
    """The client closed its connection while the call was under way."""

    @property
    def proves_no_effect(self) -> bool:
        """Tell whether the request surely has not run and will not run."""
        return self in _PROOFS


class StreamCut(Exception):
    """A receiver's answer ended before it was whole; `outcome` tells how."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


_PROOFS = frozenset({Outcome.NOT_EXECUTED, Outcome.NEVER_SENT})

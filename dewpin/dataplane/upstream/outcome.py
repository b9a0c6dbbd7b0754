"""The outcomes of a call to a receiver, and which of them prove that the request had no effect."""

from enum import Enum, unique

from dewpin.dataplane.errors import DataplaneError


@unique
class Outcome(Enum):
    """How a call ended."""

    SUCCESS = "success"
    """The receiver sent a complete, signed response that is not a server error."""
    NOT_EXECUTED = "not_executed"
    """The receiver reported that it did not execute the request (`X-Dewpin-Not-Executed` or 421); proves no effect."""
    NOT_SENT = "not_sent"
    """No connection was established, so no byte of the request was sent; proves no effect."""
    ERROR = "error"
    """The receiver sent an error response without proof that the request was not executed."""
    RESET = "reset"
    """The connection was reset after the request was sent."""
    CLOSED = "closed"
    """The connection was closed before the response was complete."""
    TIMED_OUT = "timed_out"
    """The request's deadline passed; this proves only that the caller stopped waiting."""
    MALFORMED = "malformed"
    """The received bytes are not a valid response, or belong to another request."""
    CLIENT_DISCONNECTED = "client_disconnected"
    """The client disconnected while the call was in progress."""
    LIMIT_EXCEEDED = "limit_exceeded"
    """The response exceeds a limit that no working receiver reaches (`response_limits`)."""
    NO_MEMORY = "no_memory"
    """The response did not fit into the memory budget of this process."""

    @property
    def proves_no_effect(self) -> bool:
        """Return whether it is certain that the request was not and will not be executed."""
        return self in _PROOFS_OF_NO_EFFECT


class IncompleteResponseError(DataplaneError):
    """The response of a receiver was not received completely; `outcome` is the reason."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


_PROOFS_OF_NO_EFFECT = frozenset({Outcome.NOT_EXECUTED, Outcome.NOT_SENT})

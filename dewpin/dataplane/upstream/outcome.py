"""The outcomes of one call to a receiver, and what each proves."""

from enum import Enum, unique

from dewpin.dataplane.errors import DataplaneError


@unique
class Outcome(Enum):
    """How a call ended."""

    SUCCESS = "success"
    """A complete response, signed by the receiver, that is not a server error."""
    NOT_EXECUTED = "not_executed"
    """The receiver said that it did not run the request (`X-Dewpin-Not-Executed` or 421); proves no effect."""
    NOT_SENT = "not_sent"
    """No connection was established, so that no byte of the request was sent; proves no effect."""
    ERROR = "error"
    """The receiver responded with an error and without proof that the request did not run."""
    RESET = "reset"
    """The connection was reset after the request was sent."""
    CLOSED = "closed"
    """The connection was closed before the response was complete."""
    TIMED_OUT = "timed_out"
    """The request's deadline passed; that proves only that the caller stopped waiting."""
    MALFORMED = "malformed"
    """What was received is not a valid response, or it is the response to another request."""
    CLIENT_DISCONNECTED = "client_disconnected"
    """The client disconnected while the call was in progress."""

    @property
    def proves_no_effect(self) -> bool:
        """Return whether it is certain that the request has not run and will not run."""
        return self in _PROOFS_OF_NO_EFFECT


class IncompleteResponseError(DataplaneError):
    """The response of a receiver could not be received completely; `outcome` tells why."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


_PROOFS_OF_NO_EFFECT = frozenset({Outcome.NOT_EXECUTED, Outcome.NOT_SENT})

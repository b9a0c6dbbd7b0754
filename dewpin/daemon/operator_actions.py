"""What operators ask of a running sender through the console: readiness, metrics, detaching of receivers.

Each call is passed on to the component that owns the state. The statuses of the answers are defined here; the HTTP
calls themselves are described in `console/calls.py`.
"""

from typing import Any

OK, NOT_FOUND, UNAVAILABLE = 200, 404, 503


class OperatorActions:
    """Answers to the console, unavailable until `serve` is called.

    Attributes:
        relay: life of the messages, or None while the process starts.
        pool: connections to receivers, or None while the process starts.
    """

    def __init__(self) -> None:
        self.relay: Any = None
        self.pool: Any = None

    def serve(self, relay: Any, pool: Any) -> None:
        """Answer from these components: clients are accepted from now on."""
        self.relay = relay
        self.pool = pool

    def ready(self) -> bool:
        """Return whether this process accepts messages."""
        return self.relay is not None and not self.relay.refusing and not self.relay.tail

    def figures(self) -> dict[str, Any] | None:
        """Return the metrics that `console.calls.Operated` describes, or None while the process starts."""
        if self.relay is None:
            return None
        facade = self.relay.facade
        return {
            "ends": self.relay.ends,
            "sent": self.pool.sent,
            "owed": len(self.relay.spool.pending),
            "listed": facade.listed,
            "avoided": facade.avoided(),
        }

    def detach(self, ident: bytes) -> int:
        """Take a receiver out of use; return the HTTP status of the answer."""
        return _status(self.relay.detach(ident)) if self.relay else UNAVAILABLE

    def attach(self, ident: bytes) -> int:
        """Put a receiver back into use; return the HTTP status of the answer."""
        return _status(self.relay.attach(ident)) if self.relay else UNAVAILABLE


def _status(is_done: bool | None) -> int:
    """Return the status for: done (True), no such receiver (False), could not be recorded (None)."""
    if is_done is None:
        return UNAVAILABLE
    return OK if is_done else NOT_FOUND

"""The socket of a connection to a receiver: no wait for bytes outlasts the call's deadline, or its client."""

import select
import socket
import time
from collections.abc import Callable
from typing import Any

from .messages import Client
from .outcome import Outcome


class StreamCut(Exception):
    """A receiver's answer ended before it was whole; `outcome` tells how."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


class ReceiverSocket(socket.socket):
    """A TCP socket whose reads wait for bytes by the terms of the call that it carries.

    Whatever reads from the socket, the libraries included, each wait ends at the deadline of the whole call. A time-out
    of the socket alone would begin anew with each byte of an answer that trickles in.
    """

    _deadline = float("inf")
    _clock: Callable[[], float] = staticmethod(time.monotonic)
    _client: Client | None = None

    def bound_reads(self, deadline: float, clock: Callable[[], float], client: Client | None) -> None:
        """Let reads wait until `deadline` at most; where a client is given, until it closes its connection."""
        self._deadline = deadline
        self._clock = clock
        self._client = client

    def recv_into(self, *arguments: Any) -> int:
        """Receive bytes; raises TimeoutError at the deadline and StreamCut once the client has gone."""
        if self.gettimeout() != 0:
            self._await_bytes()
        return super().recv_into(*arguments)

    def _await_bytes(self) -> None:
        poller = select.poll()
        poller.register(self, select.POLLIN)
        if self._client is not None:
            poller.register(self._client.fileno(), select.POLLRDHUP)
        while True:
            left_s = self._deadline - self._clock()
            if left_s <= 0:
                raise TimeoutError
            ready = {descriptor for descriptor, _ in poller.poll(None if left_s == float("inf") else left_s * 1000 + 1)}
            if self.fileno() in ready:
                return
            if ready:
                raise StreamCut(Outcome.CLIENT_GONE)

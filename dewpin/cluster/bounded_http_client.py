"""An HTTP client for short documents of a server that may be faulty: everything that it sends is bounded.

A read has a total time and a total number of bytes, which are enforced at the socket, so that they also hold for header
sections, interim responses and the framing of chunks. urllib3 implements HTTP, without redirects, retries and content
decoding.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO
from typing import TYPE_CHECKING, Any

import urllib3
from urllib3.connection import HTTPConnection

from dewpin.cluster.errors import DewpinError

if TYPE_CHECKING:
    from _typeshed import WriteableBuffer

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 0.8
"""Maximum wait for the next bytes."""
READ_BYTES = 65_536
FREE_CHUNKS = 4_096
BYTES_PER_FURTHER_CHUNK = 32
"""A body may have FREE_CHUNKS chunks, and one more for each of these bytes: each costs processor time."""


class DownloadError(DewpinError):
    """There was no complete response within the limits."""


@dataclass(frozen=True, slots=True)
class DownloadLimits:
    """What the responses of one read may take together.

    Attributes:
        total_s: time of the read, in seconds.
        total_bytes: bytes received during the read, including header sections and framing.
        document_bytes: bytes of the body of one response.
    """

    total_s: float
    total_bytes: int
    document_bytes: int


class _ReadBudget:
    """What is left of a read's time and bytes. Raises TimeoutError or OSError beyond them."""

    def __init__(self, limits: DownloadLimits, clock: Callable[[], float]) -> None:
        self._limits = limits
        self._clock = clock
        self._ends_at = 0.0
        self._bytes_left = 0

    def start(self) -> None:
        """Start a read."""
        self._ends_at = self._clock() + self._limits.total_s
        self._bytes_left = self._limits.total_bytes

    def time_left_s(self) -> float:
        """Return the time left, in seconds."""
        left_s = self._ends_at - self._clock()
        if left_s <= 0:
            raise TimeoutError("the read takes too long")
        return left_s

    def record_received(self, count: int) -> None:
        """Record received bytes."""
        self._bytes_left -= count
        if self._bytes_left < 0:
            raise OSError("the responses are too long")


class _BoundedSocket(socket.socket):
    """A socket whose reads are counted, and end when the time of the read is over."""

    budget: _ReadBudget

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        self.settimeout(min(READ_TIMEOUT_S, self.budget.time_left_s()))
        count = super().recv_into(buffer, nbytes, flags)
        self.budget.record_received(count)
        return count


class BoundedHttpClient:
    """Reads documents over one persistent connection; used by one thread at a time."""

    def __init__(self, address: str, limits: DownloadLimits, clock: Callable[[], float] = time.monotonic) -> None:
        """Create a client for the server at `address` (`ip:port`)."""
        self._limits = limits
        self._budget = budget = _ReadBudget(limits, clock)

        class Connection(HTTPConnection):
            def _new_conn(self) -> socket.socket:
                connected = super()._new_conn()
                family, kind, protocol = connected.family, connected.type, connected.proto
                bounded = _BoundedSocket(family, kind, protocol, fileno=connected.detach())
                bounded.budget = budget
                bounded.settimeout(READ_TIMEOUT_S)
                return bounded

        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
        self._pool.ConnectionCls = Connection

    def start_read(self) -> None:
        """Start a read of one or several documents, to which the limits apply together."""
        self._budget.start()

    def get(self, target: str) -> tuple[int, bytes]:
        """Return the status and the body of the response to a GET request. Raises DownloadError."""
        try:
            response = self._pool.request("GET", target, redirect=False, preload_content=False, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise DownloadError(repr(error)) from error
        try:
            body = self._read_body(response)
        except (urllib3.exceptions.HTTPError, OSError, DownloadError) as error:
            response.close()
            raise DownloadError(repr(error)) from error
        response.release_conn()
        return response.status, body

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _read_body(self, response: Any) -> bytes:
        body = BytesIO()
        for number, part in enumerate(response.stream(READ_BYTES, decode_content=False)):
            body.write(part)
            if body.tell() > self._limits.document_bytes:
                raise DownloadError("the document is too long")
            if number > FREE_CHUNKS + body.tell() / BYTES_PER_FURTHER_CHUNK:
                raise DownloadError("the document has too many small chunks")
        return body.getvalue()

"""Reads bodies with the chunked transfer coding (RFC 9112, 7.1).

A body may consist of very small chunks. They are decoded many at a time (`chunk_runs`), and all connections together
spend only part of the processor time on them: the threads of a process run one at a time, so a few busy connections
would delay the requests of all others.
"""

import threading
import time
from collections.abc import Callable

from dewpin.cluster.configuration import Limits
from dewpin.dataplane.http11.request_parsing import MalformedMessageError, parse_chunk_size
from dewpin.dataplane.ingress.client_connection import ClientConnection, MessageTooLargeError

MAX_CHUNK_LINE_BYTES = 256
CHUNKS_PER_BATCH = 64
SMALL_CHUNK_BYTES = 1024
"""A batch is small if its chunks have less than this size on average."""
MAX_PAUSE_S = 0.01
"""Maximum pause after a batch of small chunks."""


class TrailersTooLargeError(MessageTooLargeError):
    """The trailer section exceeds the size limit of a header section."""


class SmallChunkPacer:
    """Makes connections pause after a batch of small chunks, one after the other, for as long as the batch took."""

    def __init__(self, sleep: Callable[[float], None] = time.sleep) -> None:
        self._sleep = sleep
        self._lock = threading.Lock()

    def pause(self, batch_s: float) -> None:
        """Wait for the pauses of other connections, then pause."""
        with self._lock:
            self._sleep(min(MAX_PAUSE_S, batch_s))


_PACER = SmallChunkPacer()


class ChunkedBodyReader:
    """Reads one body into the connection; `deadline` is a time of the clock, in seconds."""

    def __init__(
        self, connection: ClientConnection, limits: Limits, deadline: float, pacer: SmallChunkPacer = _PACER
    ) -> None:
        self._connection = connection
        self._limits = limits
        self._deadline = deadline
        self._pacer = pacer

    def read(self) -> None:
        """Read chunks up to the last one; trailers are discarded.

        Raises MessageTooLargeError, MalformedMessageError and the errors of ClientConnection.
        """
        while self._read_batch():
            pass
        self._skip_trailers()

    def _read_batch(self) -> bool:
        """Read some chunks; return False after the last one."""
        started_at = time.perf_counter()
        size_before = self._connection.body_size
        for _ in range(CHUNKS_PER_BATCH):
            if not self._read_chunk():
                return False
        if self._connection.body_size - size_before < CHUNKS_PER_BATCH * SMALL_CHUNK_BYTES:
            self._connection.read_chunk_run(self._bytes_left())
            self._pacer.pause(time.perf_counter() - started_at)
        return True

    def _read_chunk(self) -> bool:
        """Read one chunk; return False if it is the last one."""
        connection = self._connection
        size = parse_chunk_size(connection.read_until(b"\r\n", MAX_CHUNK_LINE_BYTES, self._deadline))
        if size == 0:
            return False
        if size > self._bytes_left():
            raise MessageTooLargeError
        connection.read_into_body(size, self._deadline)
        if connection.read_exactly(2, self._deadline) != b"\r\n":
            raise MalformedMessageError("chunk data does not end with CRLF")
        return True

    def _bytes_left(self) -> int:
        return self._limits.max_body_bytes - self._connection.body_size

    def _skip_trailers(self) -> None:
        limit = self._limits.max_header_bytes
        skipped_bytes = 0
        while line := self._connection.read_until(b"\r\n", limit, self._deadline):
            skipped_bytes += len(line)
            if skipped_bytes > limit:
                raise TrailersTooLargeError

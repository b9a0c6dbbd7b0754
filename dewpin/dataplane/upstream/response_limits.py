"""Limits of a receiver's response, so that a receiver that sends bytes without end cannot take a sender's resources.

A working receiver reaches none of them. Beyond a limit the call ends with Outcome.LIMIT_EXCEEDED, which counts as a
fault of the receiver:

* The incomplete responses of one receiver together hold at most a share of the process's memory budget.
* The header sections of a call, and the trailers of a body, have a maximum size.
* Chunks, events and the bytes of a stream have an allowance that grows with time, because each costs processor time.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.memory_budget import UNCOUNTED_MEMORY, MemoryBudgetExceededError
from dewpin.dataplane.http11.messages import RequestMemory
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome

RECEIVER_SHARE_OF_BUDGET = 0.25
"""Share of the memory budget that the incomplete responses of one receiver may hold together."""
DEFAULT_RECEIVER_BYTES = 64 * 1024 * 1024
"""What they may hold together if there is no memory budget."""
MAX_HEAD_BYTES = 128 * 1024
"""Maximum size of all header sections of a call, including interim and late responses."""
MAX_TRAILER_BYTES = 64 * 1024
STALLED_SHARE = 0.5
"""A response has stalled if nothing has arrived for this share of the time since its call was sent."""


@dataclass(frozen=True, slots=True)
class Allowance:
    """An amount that is allowed at once, and a rate at which more is allowed, per second."""

    burst: int
    rate: int

    def at(self, elapsed_s: float) -> float:
        """Return the amount that is allowed until `elapsed_s` after the start."""
        return self.burst + self.rate * elapsed_s


CHUNKS = Allowance(16_384, 2_000)
BYTES_PER_FURTHER_CHUNK = 32
"""The data of a body allows one more chunk for each of these bytes."""
EVENTS = Allowance(16_384, 2_000)
STREAM_BYTES = Allowance(32 * 1024 * 1024, 8 * 1024 * 1024)


def limit_exceeded() -> IncompleteResponseError:
    """Return the error of a response that exceeds a limit."""
    return IncompleteResponseError(Outcome.LIMIT_EXCEEDED)


class ReceiverShare:
    """What the incomplete responses of one receiver hold together, in bytes; thread-safe."""

    def __init__(self, limit_bytes: int = DEFAULT_RECEIVER_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes held at present."""
        return self._held_bytes

    def add(self, count: int) -> None:
        """Hold further bytes. Raises IncompleteResponseError beyond the limit, and then nothing has changed."""
        with self._lock:
            if self._held_bytes + count > self.limit_bytes:
                raise limit_exceeded()
            self._held_bytes += count

    def release(self, count: int) -> None:
        """Release bytes."""
        with self._lock:
            self._held_bytes -= count


class ResponseMeter:
    """Accounts for the response of one call; used by one thread at a time.

    All methods that record something raise IncompleteResponseError beyond a limit.
    """

    def __init__(
        self, share: ReceiverShare, clock: Callable[[], float], memory: RequestMemory = UNCOUNTED_MEMORY
    ) -> None:
        """Start to account; `memory` is charged with what is held, too."""
        self._share = share
        self._clock = clock
        self._memory = memory
        self._started_at = clock()
        self._held_bytes = 0
        self._chunk_count = 0
        self._body_bytes = 0
        self._event_count = 0
        self._last_data_at = self._started_at

    def has_stalled(self) -> bool:
        """Return whether no part of the body has arrived for STALLED_SHARE of the time since the call was sent."""
        now = self._clock()
        return now - self._last_data_at >= STALLED_SHARE * (now - self._started_at)

    def record_chunk(self, data_bytes: int) -> None:
        """Record a chunk, or the bytes that arrived together, of a body."""
        self._last_data_at = self._clock()
        self._chunk_count += 1
        self._body_bytes += data_bytes
        if self._chunk_count > CHUNKS.burst:
            allowed = CHUNKS.at(self._elapsed_s()) + self._body_bytes / BYTES_PER_FURTHER_CHUNK
            self._check(self._chunk_count <= allowed)

    def record_events(self, count: int) -> None:
        """Record events of a stream, and check the number of bytes that it has had so far."""
        self._event_count += count
        if self._event_count > EVENTS.burst:
            self._check(self._event_count <= EVENTS.at(self._elapsed_s()))
        self.check_stream_bytes()

    def check_stream_bytes(self) -> None:
        """Check the number of bytes of a body that is not collected."""
        if self._body_bytes > STREAM_BYTES.burst:
            self._check(self._body_bytes <= STREAM_BYTES.at(self._elapsed_s()))

    def check_length(self, length: int) -> None:
        """Check the length of a body that is going to be collected."""
        self._check(length <= self._share.limit_bytes)

    def hold(self, held_bytes: int) -> None:
        """Record how many bytes of the response are held; they count as held until the response ends."""
        growth = held_bytes - self._held_bytes
        if growth <= 0:
            return
        self._share.add(growth)
        try:
            self._memory.add(growth, has_priority=True)
        except MemoryBudgetExceededError as error:
            self._share.release(growth)
            raise IncompleteResponseError(Outcome.NO_MEMORY) from error
        self._held_bytes = held_bytes

    def end(self, is_body_kept: bool = False) -> None:
        """Release what is held; the request's memory stays charged if the complete body is kept. Idempotent."""
        held_bytes, self._held_bytes = self._held_bytes, 0
        self._share.release(held_bytes)
        if not is_body_kept:
            self._memory.release(held_bytes)

    def _elapsed_s(self) -> float:
        return self._clock() - self._started_at

    def _check(self, is_within_limit: bool) -> None:
        if not is_within_limit:
            raise limit_exceeded()

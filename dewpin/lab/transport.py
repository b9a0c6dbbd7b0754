"""One end of a connection in the simulated network, which behaves as asyncio's transports do towards a protocol."""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Protocol

from .link_conditions import LinkConditions
from .machine import Machine

WINDOW_BYTES = 65536  # maximum in flight or unread at the other end; further data is buffered
DEFAULT_HIGH_WATER_BYTES = 65536

Address = tuple[str, int]


class TransportLoop(Protocol):
    """The interface of the event loop that a transport uses."""

    now: float
    random: Random

    def record(self, *fields: Any) -> None:
        """Record an event of the run."""

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: Any = None) -> Any:
        """Part of asyncio's loop."""


class TransportNetwork(Protocol):
    """The interface of `SimulatedNetwork` that a transport uses."""

    user_timeout_s: float | None
    transports: "set[SimulatedTransport]"

    @property
    def loop(self) -> TransportLoop:
        """The event loop."""

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Any:
        """Schedule a call of the network itself."""


class SimulatedTransport(asyncio.Transport):
    """One end of a connection, owned by the machine that opened or accepted it.

    Attributes:
        machine: its owner; None: the test itself.
        local, remote: the addresses.
        link: conditions of the direction from this end to the other.
        other: the other end.
        protocol: receives the events of the connection; None while the connection is being established.
        number: number of this end, used as its hash so that sets iterate in the same order in every run.
        has_ended: whether the connection has ended at this end.
    """

    def __init__(
        self,
        network: TransportNetwork,
        machine: Machine | None,
        local: Address,
        remote: Address,
        link: LinkConditions,
        number: int,
    ) -> None:
        super().__init__()
        self.machine = machine
        self.local = local
        self.remote = remote
        self.link = link
        self.number = number
        self.other: SimulatedTransport | None = None
        self.protocol: Any = None
        self.has_ended = False
        self._network = network
        self._loop = network.loop
        self._write_buffer = deque[bytes]()  # written but not sent, as the window is full
        self._write_buffer_bytes = 0
        self._bytes_in_flight = 0  # including those unread at the other end
        self._unread = deque[bytes]()
        self._is_eof_written = False
        self._is_eof_received = False
        self._is_closing = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._high_water_bytes = DEFAULT_HIGH_WATER_BYTES
        self._low_water_bytes = DEFAULT_HIGH_WATER_BYTES // 4
        self._last_arrival_at = 0.0  # of everything sent so far; later data must not arrive earlier
        self._held_deliveries = deque[Callable[[SimulatedTransport], None]]()  # stopped by a cut link
        self._is_user_timeout_running = False

    def __hash__(self) -> int:
        return self.number

    def __eq__(self, other: object) -> bool:
        return self is other

    def name(self) -> str:
        """Return both addresses, for recorded events."""
        return f"{self.local[0]}:{self.local[1]}>{self.remote[0]}:{self.remote[1]}"

    # -- asyncio's transport ------------------------------------------------------------------------------------------

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Part of asyncio's transport."""
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def is_closing(self) -> bool:
        """Part of asyncio's transport."""
        return self._is_closing or self.has_ended

    def set_protocol(self, protocol: Any) -> None:
        """Part of asyncio's transport."""
        self.protocol = protocol

    def get_protocol(self) -> Any:
        """Part of asyncio's transport."""
        return self.protocol

    def is_reading(self) -> bool:
        """Part of asyncio's transport."""
        return not self._is_reading_paused and not self.is_closing()

    def pause_reading(self) -> None:
        """Part of asyncio's transport."""
        self._is_reading_paused = True

    def resume_reading(self) -> None:
        """Part of asyncio's transport."""
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._loop.call_soon(self._deliver_to_protocol)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Part of asyncio's transport."""
        self._high_water_bytes = DEFAULT_HIGH_WATER_BYTES if high is None else high
        self._low_water_bytes = self._high_water_bytes // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        """Part of asyncio's transport."""
        return self._write_buffer_bytes

    def write(self, data: Any) -> None:
        """Part of asyncio's transport."""
        if self.has_ended or self._is_closing or self._is_eof_written or not data:
            return
        self._write_buffer.append(bytes(data))
        self._write_buffer_bytes += len(data)
        self._send_buffered()
        if self._write_buffer_bytes > self._high_water_bytes and not self._is_writing_paused:
            self._is_writing_paused = True
            self.protocol.pause_writing()

    def can_write_eof(self) -> bool:
        """Part of asyncio's transport."""
        return True

    def write_eof(self) -> None:
        """Part of asyncio's transport."""
        if not self._is_eof_written:
            self._is_eof_written = True
            self._send_buffered()

    def close(self) -> None:
        """Part of asyncio's transport: what was written is still sent, then EOF."""
        if self.is_closing():
            return
        self._is_closing = True
        self._is_eof_written = True
        self._send_buffered()
        if not self._write_buffer:
            self._end(None)

    def abort(self) -> None:
        """Part of asyncio's transport: what was not sent is lost, and the other end receives a reset."""
        if self.has_ended:
            return
        self._is_closing = True
        self._send_reset()
        self._end(None)

    # -- sending ------------------------------------------------------------------------------------------------------

    def _send_buffered(self) -> None:
        """Send what the window permits, split as the link requires."""
        while self._write_buffer and self._bytes_in_flight < WINDOW_BYTES:
            data = self._write_buffer.popleft()
            max_piece = self.link.max_piece_bytes
            piece_limit = self._loop.random.randint(1, max_piece) if max_piece else WINDOW_BYTES
            limit = min(WINDOW_BYTES - self._bytes_in_flight, piece_limit)
            if len(data) > limit:
                self._write_buffer.appendleft(data[limit:])
                data = data[:limit]
            self._write_buffer_bytes -= len(data)
            self._bytes_in_flight += len(data)
            self._send(partial(SimulatedTransport._receive, data=data), len(data))
        if self._is_eof_written and not self._write_buffer and not self.has_ended:
            self._send(SimulatedTransport._receive_eof)
        if self._is_writing_paused and self._write_buffer_bytes <= self._low_water_bytes:
            self._is_writing_paused = False
            self._loop.call_soon(self.protocol.resume_writing)

    def _send(self, delivery: Callable[["SimulatedTransport"], None], size: int = 0) -> None:
        """Schedule `delivery`, of `size` bytes: it is called with the other end on arrival."""
        if self.link.drops_all:
            return
        self._last_arrival_at = max(self._last_arrival_at, self.link.arrival_s(self._loop.now, size))
        self._network.call_at(self._last_arrival_at, self._arrive, delivery)

    def _arrive(self, delivery: Callable[["SimulatedTransport"], None]) -> None:
        other = self.other
        if other is None or self.link.drops_all:
            return
        if self.link.is_cut or self._held_deliveries:
            self._held_deliveries.append(delivery)
            self._start_user_timeout()
            return
        if other.link.is_cut:
            self._start_user_timeout()
        if other.has_ended:
            if not self.has_ended:  # the other end has closed
                self._network.call_at(self._loop.now + self.link.latency_s, self.receive_reset)
            return
        delivery(other)

    @property
    def has_held_deliveries(self) -> bool:
        """Whether a link that is or was cut holds deliveries."""
        return bool(self._held_deliveries)

    def send_held(self) -> None:
        """Send what a cut held, in order, after the link was restored."""
        held_deliveries, self._held_deliveries = self._held_deliveries, deque()
        for delivery in held_deliveries:
            self._send(delivery)

    def _start_user_timeout(self) -> None:
        """Simulate TCP_USER_TIMEOUT: data that stays unacknowledged for this time ends the connection at its sender."""
        timeout_s = self._network.user_timeout_s
        if timeout_s is not None and not self._is_user_timeout_running:
            self._is_user_timeout_running = True
            self._network.call_at(self._loop.now + timeout_s, self._expire_user_timeout)

    def _expire_user_timeout(self) -> None:
        self._is_user_timeout_running = False
        if not self.has_ended and self.other is not None and (self.link.is_cut or self.other.link.is_cut):
            self._is_closing = True
            self._end(TimeoutError(110, "Connection timed out"))

    # -- receiving ----------------------------------------------------------------------------------------------------

    def _receive(self, data: bytes) -> None:
        self._unread.append(data)
        self.call_as_owner(self._deliver_to_protocol)

    def _receive_eof(self) -> None:
        if not self._is_eof_received:
            self._is_eof_received = True
            self.call_as_owner(self._deliver_to_protocol)

    def _deliver_to_protocol(self) -> None:
        """Pass what arrived to the protocol, unless it has paused reading."""
        while self._unread and not self._is_reading_paused and not self.is_closing():
            data = self._unread.popleft()
            self._loop.record(self.name(), "reads", len(data))
            if isinstance(self.protocol, asyncio.BufferedProtocol):
                self._fill_buffer(self.protocol, data)
            else:
                self._acknowledge(len(data))
                self.protocol.data_received(data)
        if self._is_eof_received and not self._unread and not self.is_closing() and not self._is_reading_paused:
            self._is_eof_received = False
            self._loop.record(self.name(), "hears the end")
            if not self.protocol.eof_received():
                self.close()

    def _fill_buffer(self, protocol: asyncio.BufferedProtocol, data: bytes) -> None:
        buffer: Any = protocol.get_buffer(len(data))
        copied = min(len(buffer), len(data))
        buffer[:copied] = data[:copied]
        if copied < len(data):
            self._unread.appendleft(data[copied:])
        self._acknowledge(copied)
        protocol.buffer_updated(copied)

    def _acknowledge(self, size: int) -> None:
        """Free `size` bytes of the other end's window."""
        if self.other is not None and not self.other.has_ended:
            self.other._bytes_in_flight -= size
            if self.other._write_buffer:
                self._network.call_at(self._loop.now, self.other._send_buffered)

    # -- end of the connection ----------------------------------------------------------------------------------------

    def receive_reset(self) -> None:
        """End the connection with a reset."""
        if not self.has_ended:
            self._is_closing = True
            self._end(ConnectionResetError(104, "Connection reset by peer"))

    def _send_reset(self) -> None:
        if self.other is not None and not self.link.drops_all:
            self._network.call_at(max(self._loop.now + self.link.latency_s, self._loop.now), self._arrive_reset)

    def _arrive_reset(self) -> None:
        """Deliver a reset. It is sent once, so a cut link loses it."""
        if not self.link.is_cut and self.other is not None:
            self.other.receive_reset()

    def _end(self, error: Exception | None) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        self._write_buffer.clear()
        self._write_buffer_bytes = 0
        self._unread.clear()
        self._loop.record(self.name(), "ends", type(error).__name__)
        self._network.transports.discard(self)
        if self.protocol is not None:  # else it is still being established, and `connect` fails
            self.call_as_owner(self.protocol.connection_lost, error)

    def close_after_kill(self) -> None:
        """Close as the operating system does for a killed process: the protocol of this end is not called."""
        if not self.has_ended:
            self.has_ended = True
            self._network.transports.discard(self)
            self._send_reset()

    def call_as_owner(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Call a function soon, on the machine that owns this end."""
        if self.machine is None:
            self._loop.call_soon(function, *arguments)
        else:
            self._loop.call_soon(function, *arguments, context=self.machine.context)

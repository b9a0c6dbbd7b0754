"""The RPC client."""

from __future__ import annotations

import asyncio
from typing import Any

from dewpin.parsed_size import parsed_bytes

from ..compression import CompressedOutput, IncomingBytes
from ..memory_budget import MemoryAccount, MemoryBudget, MemoryBudgetExceededError
from ..netstring import Decoder, FrameError
from ..rpc_frames import InvalidFrameError, Message, ReplyFrame, RequestFrame
from .connection import abort_if_peer_does_not_read, set_socket_options, split_address
from .errors import RpcError

CONNECT_TIMEOUT_S = 1.0
MAX_QUEUED_BYTES = 2 * 1024 * 1024
"""Calls wait while a connection has more unsent bytes than this."""
MAX_UNCHARGED_BYTES = 64 * 1024
"""What a connection may hold of incomplete replies without a charge to the memory budget."""
MAX_SPARE_REPLIES = 100
"""A peer may send this many more replies that no call waits for than there were calls."""
UNCOMPRESSED_PERIOD_S = 60.0
"""How long uncompressed frames are sent to a peer that closed a compressed connection without a reply: earlier releases
do not support compression."""


class RpcClient:
    """Makes calls to other processes over one connection per address, opened on first use."""

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        """Create a client without connections.

        Incomplete replies are charged to `budget`, if given. It should be one of its own: memory that is used for
        clients must not break the connections to other processes.
        """
        self._budget = budget
        self._connections: dict[str, asyncio.Task[ClientConnection]] = {}
        self._uncompressed_until_s: dict[str, float] = {}

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Return the reply of the process at `address` (`host:port`).

        Raises RpcError on any failure, after at most `timeout_s`.
        """
        received_before = self._received_chunks(address)
        try:
            async with asyncio.timeout(timeout_s):  # wait_for would create a task for each call
                reply = await self._call(address, message)
        except TimeoutError:
            if self._received_chunks(address) == received_before:
                self._drop(address)  # nothing was received: a new connection may find a working path sooner
            raise RpcError("timeout", address) from None
        if reply.get("type") == "error":
            raise RpcError(str(reply.get("kind")), str(reply.get("detail", "")), reply)
        return reply

    async def close(self) -> None:
        """Abort all connections."""
        for task in self._connections.values():
            if task.done() and not task.cancelled() and task.exception() is None:
                task.result().abort()
            else:
                task.cancel()
        self._connections.clear()

    async def _call(self, address: str, message: Message) -> Message:
        connection = await self._connection(address)
        return await connection.call(message)

    async def _connection(self, address: str) -> ClientConnection:
        established = self._established(address)
        if established is not None and established.transport is not None:
            return established
        task = self._connections.get(address)
        if established is not None and established.was_compression_rejected:
            self._uncompressed_until_s[address] = asyncio.get_running_loop().time() + UNCOMPRESSED_PERIOD_S
        if task is not None and task.done():
            task = None
        if task is None:
            task = asyncio.ensure_future(self._connect(address))
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            self._connections[address] = task
        return await asyncio.shield(task)

    async def _connect(self, address: str) -> ClientConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        is_compressed = self._uncompressed_until_s.get(address, 0.0) <= loop.time()
        connecting = loop.create_connection(lambda: ClientConnection(is_compressed, self._budget), host, port)
        try:
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (TimeoutError, OSError) as error:
            raise RpcError("connect", f"{address}: {error!r}") from error
        return connection

    def _established(self, address: str) -> ClientConnection | None:
        task = self._connections.get(address)
        if task is None or not task.done() or task.cancelled() or task.exception() is not None:
            return None
        return task.result()

    def _received_chunks(self, address: str) -> int:
        connection = self._established(address)
        return connection.received_chunks if connection is not None else 0

    def _drop(self, address: str) -> None:
        connection = self._established(address)
        if connection is not None:
            del self._connections[address]
            connection.abort()


class ClientConnection(asyncio.Protocol):
    """A connection to a server.

    A peer that sends what was not asked for, or replies that do not fit into the memory budget, is disconnected; its
    pending calls fail.

    `transport`: the transport; None until the connection is made and after it is lost.
    `received_chunks`: number of times that bytes were received.
    """

    def __init__(self, is_compressed: bool, budget: MemoryBudget | None = None) -> None:
        """Create the protocol of a connection; `is_compressed` is whether to compress its requests."""
        self._decoder = Decoder(before_parsing=self._charge_parsing)
        self._memory: MemoryAccount | None = None if budget is None else budget.open_account(may_wait=False)
        self._unmatched_replies = 0
        self._incoming = IncomingBytes()
        self._output = CompressedOutput() if is_compressed else None
        self._pending: dict[int, asyncio.Future[Message]] = {}
        self._last_number = 0
        self._may_write = asyncio.Event()
        self._may_write.set()
        self.received_chunks = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_QUEUED_BYTES)
        set_socket_options(transport)

    def pause_writing(self) -> None:
        """Make further calls wait: the peer does not read as fast as requests are written."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Let the waiting calls go on."""
        self._may_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all pending calls."""
        self.transport = None
        if self._memory is not None:
            self._memory.close()
        self._decoder.discard()
        self._may_write.set()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(RpcError("closed", str(exc or "")))
        self._pending.clear()

    def data_received(self, data: bytes) -> None:
        """Resolve the calls whose replies are completed by `data`; abort the connection if a frame is invalid."""
        self.received_chunks += 1
        try:
            for chunk in self._incoming.decode(data):
                self._resolve(self._decoder.feed(chunk))
                self._charge(self._decoder.buffered_bytes)
        except (FrameError, InvalidFrameError, MemoryBudgetExceededError):
            self.abort()

    def _charge_parsing(self, text: bytes) -> None:
        """Charge the values that a reply will consist of. Raises MemoryBudgetExceededError."""
        self._charge(len(text) + parsed_bytes(text))

    def _charge(self, held_bytes: int) -> None:
        """Charge what is held of replies. Raises MemoryBudgetExceededError."""
        memory = self._memory
        if memory is None or (held_bytes <= MAX_UNCHARGED_BYTES and not memory.held_bytes):
            return
        memory.check_can_ever_hold(held_bytes)
        memory.resize(held_bytes, has_priority=True)

    def _resolve(self, frames: list[dict[str, Any]]) -> None:
        for frame in frames:
            reply = ReplyFrame.decode(frame)
            future = self._pending.pop(reply.number, None)
            if future is None:
                self._record_unmatched_reply(reply.number)
            elif not future.done():
                future.set_result(reply.message)

    def _record_unmatched_reply(self, number: int) -> None:
        """Record a reply to a call that is not pending any more.

        Raises InvalidFrameError if there was no such call, or if there are more such replies than calls.
        """
        self._unmatched_replies += 1
        if number > self._last_number or self._unmatched_replies > self._last_number + MAX_SPARE_REPLIES:
            raise InvalidFrameError("a reply without a call")

    @property
    def was_compression_rejected(self) -> bool:
        """Whether the peer closed a compressed connection after a request without sending any bytes."""
        is_closed_after_use = self.transport is None and self._last_number > 0
        return is_closed_after_use and self._output is not None and not self.received_chunks

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    async def call(self, message: Message) -> Message:
        """Return the reply to `message`. Raises RpcError (`closed`, `too_large`).

        The request is encoded once the bytes of earlier ones have been sent, so that retries of a call to a slow peer
        do not add up.
        """
        if not self._may_write.is_set():
            await self._may_write.wait()
        if self.transport is None or self.transport.is_closing() or abort_if_peer_does_not_read(self.transport):
            raise RpcError("closed")
        self._last_number += 1
        number = self._last_number
        self._write(self.transport, RequestFrame(number, message))
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            return await future
        finally:
            self._pending.pop(number, None)

    def _write(self, transport: asyncio.Transport, request: RequestFrame) -> None:
        """Write a request, whose encoded form is not held while its reply is awaited. Raises RpcError (`too_large`)."""
        frame = _encode_request(request)
        transport.write(frame if self._output is None else self._output.encode(frame))


def _encode_request(request: RequestFrame) -> bytes:
    """Encode a request. Raises RpcError (`too_large`)."""
    try:
        return request.encode()
    except FrameError as error:
        raise RpcError("too_large", str(error)) from error

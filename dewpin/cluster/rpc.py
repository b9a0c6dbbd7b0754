"""Remote calls between dewpin's processes: netstrings of JSON over TCP, many calls at once on one connection.

A message is an object with a `type`; an answer of type `error` raises `RpcError` at the caller. The frames around
messages are those of `rpc_frames`.

Each connection counts its own numbers and never uses one twice, so the answer to a call that was given up, however
late, finds nobody waiting and is dropped. A call that failed may have been carried out: whoever repeats one does so
only to handlers that may run twice.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from .compression import CompressedOutput, IncomingBytes
from .errors import DewpinError
from .netstring import Decoder, FrameError
from .rpc_frames import AnswerFrame, InvalidFrameError, RequestFrame
from .rpc_frames import Message as Message
from .running_tasks import forget_current_task

Handler = Callable[[Message], Awaitable[Message]]

CONNECT_TIMEOUT_S = 1.0
USER_TIMEOUT_MS = 2000
MOST_UNANSWERED = 1000
PLAIN_FOR_S = 60.0
"""How long a process that ended a compressed connection without a word is spoken to in plain netstrings: one of an
earlier release knows no others."""
MOST_UNSENT_BYTES = 16 * 1024 * 1024
"""A connection whose peer leaves so much unread is ended before more is written to it."""

log = logging.getLogger(__name__)


class RpcError(DewpinError):
    """A call that got no answer, or an error as its answer. `kind` is a word from the answer, or one of `timeout`,
    `connect`, `closed`, `too_large`. `message` is the whole error answer where there was one."""

    def __init__(self, kind: str, detail: str = "", message: Message | None = None) -> None:
        super().__init__(f"{kind}: {detail}" if detail else kind)
        self.kind = kind
        self.detail = detail
        self.message = message or {}


ERROR_FIELDS = frozenset({"type", "kind", "detail"})
"""What every error answer has; a fault that came in an answer has them too."""


def error_message(kind: str, detail: str = "", **fields: Any) -> Message:
    """The answer that raises `RpcError` at the caller."""
    return {"type": "error", "kind": kind, "detail": detail, **fields}


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _tune(transport: asyncio.BaseTransport) -> None:
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _ends_unread(transport: asyncio.Transport) -> bool:
    """End a connection whose peer does not read; tells whether it did."""
    if transport.get_write_buffer_size() <= MOST_UNSENT_BYTES:
        return False
    log.warning("rpc.peer_does_not_read", extra={"peer": str(transport.get_extra_info("peername"))})
    transport.abort()
    return True


class _ServerConnection(asyncio.Protocol):
    def __init__(self, server: RpcServer) -> None:
        self._server = server
        self._decoder = Decoder()
        self._incoming = IncomingBytes()
        self._output: CompressedOutput | None = None
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(transport)
        _tune(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._server.connections.discard(self._transport)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        try:
            for piece in self._incoming.decode(data):
                self._take(self._decoder.feed(piece))
        except FrameError as fault:
            self._refuse(str(fault))

    def _take(self, frames: list[dict[str, Any]]) -> None:
        """Begin to answer requests. FrameError for what is none, or for too many."""
        for frame in frames:
            try:
                request = RequestFrame.decode(frame)
            except InvalidFrameError:
                raise FrameError("not a request") from None
            if len(self._tasks) >= MOST_UNANSWERED:
                raise FrameError("too many requests unanswered")
            self._tasks.add(asyncio.ensure_future(self._answer(request)))

    def _refuse(self, why: str) -> None:
        log.warning("rpc.bad_frame", extra={"why": why})
        if self._transport is not None:
            self._transport.abort()

    async def _answer(self, request: RequestFrame) -> None:
        try:
            answer = await self._server.dispatch(request.message)
            transport = self._transport
            if transport is not None and not transport.is_closing() and not _ends_unread(transport):
                transport.write(self._encoded(_answer_bytes(AnswerFrame(request.number, answer))))
        finally:
            forget_current_task(self._tasks)

    def _encoded(self, frame: bytes) -> bytes:
        """The bytes of an answer in the form in which the client asks."""
        if not self._incoming.is_compressed:
            return frame
        if self._output is None:
            self._output = CompressedOutput()
        return self._output.encode(frame)


def _answer_bytes(answer: AnswerFrame) -> bytes:
    """The bytes of an answer; of an error in its place where it cannot be sent, so that its caller does not wait."""
    try:
        return answer.encode()
    except (ValueError, TypeError) as fault:  # FrameError is a ValueError
        log.error("rpc.answer_not_sent", extra={"message_type": answer.message.get("type"), "why": str(fault)})
        refused = error_message("too_large" if isinstance(fault, FrameError) else "internal", str(fault))
        return AnswerFrame(answer.number, refused).encode()


class RpcServer:
    """Answers the calls of other processes by one handler for each message type."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self.handlers = dict(handlers)
        self.connections: set[asyncio.Transport] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Begins to listen. OSError if the address can't be had."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _ServerConnection(self), host, port, backlog=512)

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for transport in list(self.connections):
            transport.abort()

    async def dispatch(self, message: Message) -> Message:
        """The answer to one message; a handler that fails gives an error answer."""
        handler = self.handlers.get(str(message.get("type")))
        if handler is None:
            return error_message("unknown_type", str(message.get("type")))
        try:
            return await handler(message)
        except RpcError as fault:
            told = {name: value for name, value in fault.message.items() if name not in ERROR_FIELDS}
            return error_message(fault.kind, fault.detail, **told)
        except Exception as fault:  # a handler's fault must not end the process; the caller hears of it
            log.exception("rpc.handler_failed", extra={"message_type": message.get("type")})
            return error_message("internal", repr(fault))


def _request_bytes(request: RequestFrame) -> bytes:
    """The bytes of a request. RpcError for one that is too large."""
    try:
        return request.encode()
    except FrameError as fault:
        raise RpcError("too_large", str(fault)) from None


class _ClientConnection(asyncio.Protocol):
    def __init__(self, compressed: bool) -> None:
        self._decoder = Decoder()
        self._incoming = IncomingBytes()
        self._output = CompressedOutput() if compressed else None
        self._waiting: dict[int, asyncio.Future[Message]] = {}
        self._number = 0
        self.received = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        _tune(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(RpcError("closed", str(exc or "")))
        self._waiting.clear()

    def data_received(self, data: bytes) -> None:
        self.received += 1
        try:
            for piece in self._incoming.decode(data):
                self._take(self._decoder.feed(piece))
        except (FrameError, InvalidFrameError):
            self.abort()

    def _take(self, frames: list[dict[str, Any]]) -> None:
        for frame in frames:
            answer = AnswerFrame.decode(frame)
            future = self._waiting.pop(answer.number, None)
            if future is not None and not future.done():
                future.set_result(answer.message)

    @property
    def was_rejected(self) -> bool:
        """Whether the peer ended a compressed connection without a byte of answer to what it was sent."""
        return self.transport is None and self._output is not None and self._number > 0 and not self.received

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    async def call(self, message: Message) -> Message:
        if self.transport is None or self.transport.is_closing() or _ends_unread(self.transport):
            raise RpcError("closed")
        self._number += 1
        number = self._number
        frame = _request_bytes(RequestFrame(number, message))
        if self._output is not None:
            frame = self._output.encode(frame)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        self.transport.write(frame)
        try:
            return await future
        finally:
            self._waiting.pop(number, None)


class RpcClient:
    """Calls to other processes: one connection per address, made when it is first needed."""

    def __init__(self) -> None:
        self._connections: dict[str, asyncio.Task[_ClientConnection]] = {}
        self._plain_until_s: dict[str, float] = {}

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """The answer of the process at `address`. RpcError on any failure, at the latest after `timeout_s`."""
        received = self._bytes_events(address)
        try:
            async with asyncio.timeout(timeout_s):  # wait_for would make a task of each call
                answer = await self._call(address, message)
        except TimeoutError:
            if self._bytes_events(address) == received:
                self._drop(address)  # silent all the while: a new connection finds a path sooner than this one
            raise RpcError("timeout", address) from None
        if answer.get("type") == "error":
            raise RpcError(str(answer.get("kind")), str(answer.get("detail", "")), answer)
        return answer

    async def _call(self, address: str, message: Message) -> Message:
        connection = await self._connection(address)
        return await connection.call(message)

    async def _connection(self, address: str) -> _ClientConnection:
        established = self._established(address)
        if established is not None and established.transport is not None:
            return established
        task = self._connections.get(address)
        if established is not None and established.was_rejected:
            self._plain_until_s[address] = asyncio.get_running_loop().time() + PLAIN_FOR_S
        if task is not None and task.done():
            task = None
        if task is None:
            task = asyncio.ensure_future(self._connect(address))
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            self._connections[address] = task
        return await asyncio.shield(task)

    async def _connect(self, address: str) -> _ClientConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        compressed = self._plain_until_s.get(address, 0.0) <= loop.time()
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(lambda: _ClientConnection(compressed), host, port), CONNECT_TIMEOUT_S
            )
        except (TimeoutError, OSError) as fault:
            raise RpcError("connect", f"{address}: {fault!r}") from None
        return connection

    def _established(self, address: str) -> _ClientConnection | None:
        task = self._connections.get(address)
        if task is None or not task.done() or task.cancelled() or task.exception() is not None:
            return None
        return task.result()

    def _bytes_events(self, address: str) -> int:
        connection = self._established(address)
        return connection.received if connection is not None else 0

    def _drop(self, address: str) -> None:
        connection = self._established(address)
        if connection is not None:
            del self._connections[address]
            connection.abort()

    async def close(self) -> None:
        """Closes all connections."""
        for task in self._connections.values():
            if task.done() and not task.cancelled() and task.exception() is None:
                task.result().abort()
            else:
                task.cancel()
        self._connections.clear()

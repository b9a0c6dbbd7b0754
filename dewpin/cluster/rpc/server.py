"""The server: answers the calls of other processes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from ..compression import CompressedOutput, IncomingBytes
from ..netstring import Decoder, FrameError
from ..rpc_frames import InvalidFrameError, Message, ReplyFrame, RequestFrame
from ..running_tasks import forget_current_task
from .connection import abort_if_peer_does_not_read, set_socket_options
from .errors import ERROR_FIELDS, RpcError, error_message

Handler = Callable[[Message], Awaitable[Message]]
"""Returns the reply to a message; an RpcError that it raises becomes an error message."""

MAX_PENDING_REQUESTS = 1000
"""Requests of one connection that are handled at the same time at most."""
LISTEN_BACKLOG = 512

log = logging.getLogger(__name__)


class RpcServer:
    """Answers the calls of other processes by one handler for each message type.

    `handlers`: by message type; may be extended while the server runs.
    `connections`: the open connections.
    """

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        """Create a server that does not listen yet."""
        self.handlers = dict(handlers)
        self.connections: set[asyncio.Transport] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Begin to listen. Raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), host, port, backlog=LISTEN_BACKLOG)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for transport in list(self.connections):
            transport.abort()

    async def dispatch(self, message: Message) -> Message:
        """Return the reply to one message; a handler that fails gives an error message."""
        handler = self.handlers.get(str(message.get("type")))
        if handler is None:
            return error_message("unknown_type", str(message.get("type")))
        try:
            return await handler(message)
        except RpcError as error:
            fields = {name: value for name, value in error.message.items() if name not in ERROR_FIELDS}
            return error_message(error.kind, error.detail, **fields)
        except Exception as error:  # a fault of a handler must not end the process; the caller is notified
            log.exception("rpc.handler_failed", extra={"message_type": message.get("type")})
            return error_message("internal", repr(error))


class ServerConnection(asyncio.Protocol):
    """One connection of a client; replies leave in the order in which handlers finish."""

    def __init__(self, server: RpcServer) -> None:
        """Create the protocol of a connection that `server` has accepted."""
        self._server = server
        self._decoder = Decoder()
        self._incoming = IncomingBytes()
        self._output: CompressedOutput | None = None
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(transport)
        set_socket_options(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister the connection; handlers in progress run to their end."""
        if self._transport is not None:
            self._server.connections.discard(self._transport)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Start to handle the requests that `data` completes."""
        try:
            for chunk in self._incoming.decode(data):
                self._start_handling(self._decoder.feed(chunk))
        except FrameError as error:
            self._abort(str(error))

    def _start_handling(self, frames: list[dict[str, Any]]) -> None:
        """Start to handle requests. Raises FrameError for a frame that is no request, or for too many."""
        for frame in frames:
            try:
                request = RequestFrame.decode(frame)
            except InvalidFrameError as error:
                raise FrameError("not a request") from error
            if len(self._tasks) >= MAX_PENDING_REQUESTS:
                raise FrameError("too many requests unanswered")
            self._tasks.add(asyncio.ensure_future(self._handle(request)))

    def _abort(self, why: str) -> None:
        log.warning("rpc.bad_frame", extra={"why": why})
        if self._transport is not None:
            self._transport.abort()

    async def _handle(self, request: RequestFrame) -> None:
        try:
            reply = await self._server.dispatch(request.message)
            transport = self._transport
            if transport is None or transport.is_closing() or abort_if_peer_does_not_read(transport):
                return
            transport.write(self._encode(_reply_bytes(ReplyFrame(request.number, reply))))
        finally:
            forget_current_task(self._tasks)

    def _encode(self, frame: bytes) -> bytes:
        """Return the bytes of a reply in the form in which the client sends its requests."""
        if not self._incoming.is_compressed:
            return frame
        if self._output is None:
            self._output = CompressedOutput()
        return self._output.encode(frame)


def _reply_bytes(reply: ReplyFrame) -> bytes:
    """Return the bytes of a reply, or of an error message if it cannot be encoded, so that its caller need not wait."""
    try:
        return reply.encode()
    except (ValueError, TypeError) as error:  # FrameError is a ValueError
        log.error("rpc.answer_not_sent", extra={"message_type": reply.message.get("type"), "why": str(error)})
        kind = "too_large" if isinstance(error, FrameError) else "internal"
        return ReplyFrame(reply.number, error_message(kind, str(error))).encode()

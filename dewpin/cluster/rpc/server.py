"""The RPC server."""

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
"""Returns the reply to a message; an RpcError that it raises is sent as an error message."""

MAX_PENDING_REQUESTS = 1000
"""Maximum number of requests of one connection that are handled concurrently."""
LISTEN_BACKLOG = 512

log = logging.getLogger(__name__)


class RpcServer:
    """Handles the calls of other processes with one handler per message type.

    `handlers`: handlers by message type; may be extended while the server is running.
    `connections`: the open connections.
    """

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        """Create a server that is not listening yet."""
        self.handlers = dict(handlers)
        self.connections: set[asyncio.Transport] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening. Raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), host, port, backlog=LISTEN_BACKLOG)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for transport in list(self.connections):
            transport.abort()

    async def dispatch(self, message: Message) -> Message:
        """Return the reply to a message, which is an error message if the handler fails."""
        handler = self.handlers.get(str(message.get("type")))
        if handler is None:
            return error_message("unknown_type", str(message.get("type")))
        try:
            return await handler(message)
        except RpcError as error:
            fields = {name: value for name, value in error.message.items() if name not in ERROR_FIELDS}
            return error_message(error.kind, error.detail, **fields)
        except Exception as error:  # a bug in a handler must not end the process; the caller gets an error message
            log.exception("rpc.handler_failed", extra={"message_type": message.get("type")})
            return error_message("internal", repr(error))


class ServerConnection(asyncio.Protocol):
    """A connection of a client; replies are sent in the order in which the handlers finish."""

    def __init__(self, server: RpcServer) -> None:
        """Create the protocol of a connection accepted by `server`."""
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
        """Deregister the connection; running handlers are not cancelled."""
        if self._transport is not None:
            self._server.connections.discard(self._transport)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Start handling the requests completed by `data`."""
        try:
            for chunk in self._incoming.decode(data):
                self._start_handling(self._decoder.feed(chunk))
        except FrameError as error:
            self._abort(str(error))

    def _start_handling(self, frames: list[dict[str, Any]]) -> None:
        """Start handling requests. Raises FrameError for an invalid request or if too many are pending."""
        for frame in frames:
            try:
                request = RequestFrame.decode(frame)
            except InvalidFrameError as error:
                raise FrameError("invalid request frame") from error
            if len(self._tasks) >= MAX_PENDING_REQUESTS:
                raise FrameError("too many pending requests")
            self._tasks.add(asyncio.ensure_future(self._handle(request)))

    def _abort(self, reason: str) -> None:
        log.warning("rpc.bad_frame", extra={"why": reason})
        if self._transport is not None:
            self._transport.abort()

    async def _handle(self, request: RequestFrame) -> None:
        try:
            reply = await self._server.dispatch(request.message)
            transport = self._transport
            if transport is None or transport.is_closing() or abort_if_peer_does_not_read(transport):
                return
            transport.write(self._encode(_encode_reply(ReplyFrame(request.number, reply))))
        finally:
            forget_current_task(self._tasks)

    def _encode(self, frame: bytes) -> bytes:
        """Return the bytes to send for an encoded reply: compressed if the client compresses its requests."""
        if not self._incoming.is_compressed:
            return frame
        if self._output is None:
            self._output = CompressedOutput()
        return self._output.encode(frame)


def _encode_reply(reply: ReplyFrame) -> bytes:
    """Encode a reply, or an error message if that fails, so that the caller does not wait for its time-out."""
    try:
        return reply.encode()
    except (ValueError, TypeError) as error:  # FrameError is a ValueError
        log.error("rpc.answer_not_sent", extra={"message_type": reply.message.get("type"), "why": str(error)})
        kind = "too_large" if isinstance(error, FrameError) else "internal"
        return ReplyFrame(reply.number, error_message(kind, str(error))).encode()

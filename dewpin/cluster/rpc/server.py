"""The RPC server."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from dewpin.parsed_size import parsed_bytes

from ..compression import CompressedOutput, IncomingBytes
from ..memory_budget import MemoryBudget, MemoryBudgetExceededError
from ..netstring import Decoder, FrameError
from ..rpc_frames import InvalidFrameError, Message, ReplyFrame, RequestFrame
from ..running_tasks import forget_current_task
from .connection import abort_if_peer_does_not_read, bound_listener, set_socket_options
from .connection_table import DEFAULT_MAX_CONNECTIONS, MAX_ACCEPTED_AT_ONCE, ConnectionTable
from .errors import ERROR_FIELDS, RpcError, error_message

Handler = Callable[[Message], Awaitable[Message]]
"""Returns the reply to a message; an RpcError that it raises is sent as an error message."""

MAX_PENDING_REQUESTS = 1000
"""Maximum number of requests of one connection that are handled concurrently."""
LISTEN_BACKLOG = 512
RECEIVE_BUFFER_BYTES = 200 * 1024
"""The kernel's receive buffer of a connection: what arrives while the event loop is busy takes memory, too."""
MAX_REPEATED_CHARACTERS = 200
"""Maximum length of a received text that an error message repeats."""
MAX_UNCHARGED_BYTES = 16 * 1024
"""What a connection holds is charged only if it is more than this."""

log = logging.getLogger(__name__)


class RpcServer:
    """Handles the calls of other processes with one handler per message type.

    `handlers`: handlers by message type; may be extended while the server is running.
    `connections`: the open connections.
    `budget`: the memory budget to which messages are charged.
    """

    def __init__(
        self,
        handlers: Mapping[str, Handler],
        budget: MemoryBudget | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        """Create a server that is not listening yet."""
        self.handlers = dict(handlers)
        self.budget = budget or MemoryBudget.for_process(0.0)
        self.connections = ConnectionTable(max_connections)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening. Raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=MAX_ACCEPTED_AT_ONCE
        )
        for listener in getattr(self._server, "sockets", ()):  # there are none in simulated time
            bound_listener(listener.fileno(), LISTEN_BACKLOG, RECEIVE_BUFFER_BYTES)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.connections.abort_all()

    async def dispatch(self, message: Message) -> Message:
        """Return the reply to a message, which is an error message if the handler fails."""
        handler = self.handlers.get(str(message.get("type")))
        if handler is None:
            return error_message("unknown_type", str(message.get("type"))[:MAX_REPEATED_CHARACTERS])
        try:
            return await handler(message)
        except RpcError as error:
            fields = {name: value for name, value in error.message.items() if name not in ERROR_FIELDS}
            return error_message(error.kind, error.detail, **fields)
        except Exception as error:  # a bug in a handler must not end the process; the caller gets an error message
            log.exception("rpc.handler_failed", extra={"message_type": message.get("type")})
            return error_message("internal", repr(error))


class ServerConnection(asyncio.Protocol):
    """A connection of a client; replies are sent in the order in which the handlers finish.

    Each message is charged with its values before it is parsed, as `_parsed_bytes`, and until its handler has ended, as
    part of `_handled_bytes`.
    """

    def __init__(self, server: RpcServer) -> None:
        """Create the protocol of a connection accepted by `server`."""
        self._server = server
        self._decoder = Decoder(before_parsing=self._charge_parsing)
        self._incoming = IncomingBytes()
        self._output: CompressedOutput | None = None
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._memory = server.budget.open_account(self._drop_received, may_wait=False)
        self._is_receiving = False
        self._handled_bytes = 0
        self._parsed_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._server.connections.add(transport)
        set_socket_options(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister the connection; running handlers are not cancelled."""
        if self._transport is not None:
            self._server.connections.discard(self._transport)
        self._transport = None
        self._decoder.discard()
        self._parsed_bytes = 0
        self._charge_or_abort()  # the messages that are still handled remain charged

    def resume_writing(self) -> None:
        """Release the replies that the peer has read."""
        self._charge_or_abort()

    def data_received(self, data: bytes) -> None:
        """Start handling the requests completed by `data`."""
        try:
            for chunk in self._incoming.decode(data):
                self._decode(chunk)
        except (FrameError, MemoryBudgetExceededError) as error:
            self._abort(str(error))

    def _decode(self, chunk: bytes) -> None:
        """Decode bytes and start handling the requests that they complete.

        Raises FrameError and MemoryBudgetExceededError.
        """
        undecoded_bytes = self._decoder.buffered_bytes + len(chunk)
        frames = self._decoder.feed(chunk)
        if frames:
            self._start_handling(frames, undecoded_bytes - self._decoder.buffered_bytes + self._parsed_bytes)
            self._parsed_bytes = 0
            if self._transport is not None:
                self._server.connections.record_request(self._transport)
        self._charge_held()

    def _charge_held(self) -> None:
        """Charge what is held now. Raises MemoryBudgetExceededError."""
        unsent_bytes = 0 if self._transport is None else self._transport.get_write_buffer_size()
        received_bytes = self._decoder.buffered_bytes
        held_bytes = received_bytes + self._parsed_bytes + self._handled_bytes + unsent_bytes
        if held_bytes <= MAX_UNCHARGED_BYTES and not self._memory.held_bytes:
            return
        self._memory.resize(held_bytes, has_priority=True)
        self._set_receiving(received_bytes > MAX_UNCHARGED_BYTES)

    def _set_receiving(self, is_receiving: bool) -> None:
        """Record whether the peer is expected to send more of a message: only then the connection may be evicted."""
        if is_receiving == self._is_receiving:
            return
        self._is_receiving = is_receiving
        if is_receiving:
            self._memory.begin_transfer()
        else:
            self._memory.end_transfer()

    def _charge_parsing(self, text: bytes) -> None:
        """Charge the values that an object will consist of. Raises MemoryBudgetExceededError."""
        message_bytes = len(text) + parsed_bytes(text)
        self._memory.check_can_ever_hold(self._handled_bytes + self._parsed_bytes + message_bytes)
        self._parsed_bytes += message_bytes
        self._charge_held()

    def _drop_received(self) -> None:
        """Release what was received and close the connection, from any thread; called when the account is evicted."""
        self._decoder.discard()
        with contextlib.suppress(RuntimeError):  # the event loop is closed
            self._loop.call_soon_threadsafe(self._abort, "evicted from the memory budget")

    def _start_handling(self, frames: list[dict[str, Any]], received_bytes: int) -> None:
        """Start handling requests. Raises FrameError for an invalid request or if too many are pending."""
        for frame in frames:
            try:
                request = RequestFrame.decode(frame)
            except InvalidFrameError as error:
                raise FrameError("invalid request frame") from error
            if len(self._tasks) >= MAX_PENDING_REQUESTS:
                raise FrameError("too many pending requests")
            frame_bytes = received_bytes // len(frames)
            self._handled_bytes += frame_bytes
            self._tasks.add(asyncio.ensure_future(self._handle(request, frame_bytes)))

    def _abort(self, reason: str) -> None:
        if self._transport is not None:
            log.warning("rpc.bad_frame", extra={"why": reason})
            self._transport.abort()

    async def _handle(self, request: RequestFrame, received_bytes: int) -> None:
        try:
            await self._reply_to(request)
        finally:
            self._handled_bytes -= received_bytes
            self._charge_or_abort()
            forget_current_task(self._tasks)

    async def _reply_to(self, request: RequestFrame) -> None:
        reply = await self._server.dispatch(request.message)
        transport = self._transport
        if transport is None or transport.is_closing() or abort_if_peer_does_not_read(transport):
            return
        transport.write(self._encode(_encode_reply(ReplyFrame(request.number, reply))))

    def _charge_or_abort(self) -> None:
        """Charge what is held now; close the connection if it does not fit into the memory budget."""
        try:
            self._charge_held()
        except MemoryBudgetExceededError as error:
            self._abort(str(error))

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

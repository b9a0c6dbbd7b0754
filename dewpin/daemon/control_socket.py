"""The control socket: one JSON line as request and one as response, for operators on the same machine.

The socket must never delay messages: a client that sends nothing, sends too much or does not read is disconnected, and
an error affects only the request that caused it.
"""

import asyncio
import hmac
import os
import socket
import stat
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from ..log import events, log_event

MAX_CONNECTIONS = 4
MAX_REQUEST_BYTES = 1024
MAX_LINES = 10_000
CALL_TIMEOUT_SECONDS = 2.0  # from connect until the response is read
LIVENESS_TIMEOUT_SECONDS = 0.2


class ControlRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A client's request.

    `ask`: must be "status". `token`: the configured token, if any. `lines`: maximum number of destinations to list, 0
    for the configured number.
    """

    ask: str
    token: str = ""
    lines: int = 0


class ControlConnection(asyncio.BufferedProtocol):
    """One connection to the control socket.

    Attributes:
        transport: the transport, set when the connection is made.
        response_task: the task that sends the response, once the request is complete.
        timeout: timer that aborts the connection if the call takes too long.
        buffer: receive buffer, of which the first `size` bytes are filled.
    """

    def __init__(self, control: "ControlSocket") -> None:
        self.control = control
        self.transport: Any = None
        self.response_task: asyncio.Task[None] | None = None
        self.timeout: asyncio.TimerHandle | None = None
        self.buffer = bytearray(MAX_REQUEST_BYTES)
        self.size = 0

    def connection_made(self, transport: Any) -> None:
        """Start the time-out; abort the connection if too many are open."""
        self.transport = transport
        self.control.connections.add(self)
        self.timeout = asyncio.get_running_loop().call_later(CALL_TIMEOUT_SECONDS, transport.abort)
        if len(self.control.connections) > MAX_CONNECTIONS:
            transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the buffer."""
        return memoryview(self.buffer)[self.size :]

    def buffer_updated(self, nbytes: int) -> None:
        """Respond once the request is complete; disconnect a client that sends several lines or too long a line."""
        self.size += nbytes
        if self.response_task:
            self.transport.abort()
            return
        end = self.buffer.find(b"\n", 0, self.size)
        if end >= 0:
            line = bytes(self.buffer[:end])
            self.response_task = asyncio.get_running_loop().create_task(self._respond(line))
        elif self.size == MAX_REQUEST_BYTES:
            self.transport.abort()

    async def _respond(self, line: bytes) -> None:
        try:
            response = await self.control.respond(line)
        except Exception as error:
            log_event(events.CONTROL_FAILED, why=f"{type(error).__name__}: {error}")
            response = {"fault": "the sender could not answer; its log says why"}
        self.transport.write(msgspec.json.encode(response) + b"\n")
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection; cancel the time-out and the response task."""
        self.control.connections.discard(self)
        if self.timeout:
            self.timeout.cancel()
        if self.response_task:
            self.response_task.cancel()


class ControlSocket:
    """The listening socket and its connections.

    Attributes:
        collect_status: coroutine function that takes the maximum number of destinations to list and returns the status.
        connections: open connections.
        path: path of the socket; empty while it is closed.
        token: token that clients must send; empty if none is required.
        lines: number of destinations listed if a request does not specify it.
    """

    def __init__(self, collect_status: Callable[[int], Awaitable[dict[str, Any]]]) -> None:
        self.collect_status = collect_status
        self.connections: set[ControlConnection] = set()
        self.server: asyncio.Server | None = None
        self.path = self.token = ""
        self.lines = 50

    async def move(self, path: str, token: str, lines: int) -> None:
        """Apply the `[control]` section; a path that can't be opened is logged, and the socket stays closed."""
        self.token, self.lines = token, lines
        if path == self.path:
            return
        self.close()
        if not path:
            return
        try:
            self.server = await asyncio.get_running_loop().create_unix_server(
                lambda: ControlConnection(self), sock=_listening_socket(path), backlog=4 * MAX_CONNECTIONS
            )
        except OSError as error:
            return log_event(events.CONTROL_FAILED, at=path, why=str(error))
        self.path = path
        log_event(events.CONTROL_LISTENING, at=path)

    async def respond(self, line: bytes) -> dict[str, Any]:
        """Return the response to a request, or a map with `fault` if the request is invalid."""
        try:
            request = msgspec.json.decode(line, type=ControlRequest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return {"fault": f"the question can't be read: {error}"}
        if self.token and not hmac.compare_digest(request.token.encode(), self.token.encode()):
            return {"fault": "the token is not the one in control.token"}
        if request.ask != "status":
            return {"fault": f"{request.ask!r} can't be asked; status can"}
        return await self.collect_status(max(0, min(request.lines, MAX_LINES)) or self.lines)

    def close(self) -> None:
        """Close all connections and remove the socket."""
        for connection in list(self.connections):
            connection.transport.abort()
        if self.server:
            self.server.close()
            try:
                os.unlink(self.path)
            except OSError:
                pass
        self.server, self.path = None, ""


def _listening_socket(path: str) -> socket.socket:
    """Return a socket bound to the path, accessible to its owner only.

    A socket file left by a killed process is replaced. Raises OSError if another process is listening there.
    """
    _remove_stale_socket(path)
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        previous_umask = os.umask(0o177)
        try:
            listener.bind(path)
        finally:
            os.umask(previous_umask)
    except OSError:
        listener.close()
        raise
    return listener


def _remove_stale_socket(path: str) -> None:
    try:
        if stat.S_ISSOCK(os.stat(path).st_mode):
            with socket.socket(socket.AF_UNIX) as probe:
                probe.settimeout(LIVENESS_TIMEOUT_SECONDS)
                try:
                    probe.connect(path)
                except ConnectionRefusedError:
                    os.unlink(path)
    except FileNotFoundError:
        pass

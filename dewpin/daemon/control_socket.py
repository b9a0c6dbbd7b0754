"""The control socket: one question and one answer, as JSON lines, for people on the same machine.

The socket must never delay messages: a caller that sends nothing, sends too much or does not read is disconnected, and
a fault here costs only its own answer.
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

MAX_CALLERS = 4
MAX_QUESTION_BYTES = 1024
MAX_LINES = 10_000
CALL_TIMEOUT_SECONDS = 2.0  # for a question to come and its answer to be read
LIVENESS_TIMEOUT_SECONDS = 0.2


class Question(msgspec.Struct, forbid_unknown_fields=True):
    """A caller's question.

    `ask` is "status"; `token` is the configured one, if any; `lines` is how many destinations are listed, 0 for as many
    as configured.
    """

    ask: str
    token: str = ""
    lines: int = 0


class Caller(asyncio.BufferedProtocol):
    """One connection to the control socket.

    Attributes:
        transport: set as long as the connection is open.
        answering: the task that makes the answer, once the question is complete.
        timeout: aborts the connection when the call takes too long.
        buffer: the question's bytes, of which `size` have come.
    """

    def __init__(self, control: "ControlSocket") -> None:
        self.control = control
        self.transport: Any = None
        self.answering: asyncio.Task[None] | None = None
        self.timeout: asyncio.TimerHandle | None = None
        self.buffer = bytearray(MAX_QUESTION_BYTES)
        self.size = 0

    def connection_made(self, transport: Any) -> None:
        """Start the time-out; reject the caller where there are too many."""
        self.transport = transport
        self.control.callers.add(self)
        self.timeout = asyncio.get_running_loop().call_later(CALL_TIMEOUT_SECONDS, transport.abort)
        if len(self.control.callers) > MAX_CALLERS:
            transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the buffer."""
        return memoryview(self.buffer)[self.size :]

    def buffer_updated(self, nbytes: int) -> None:
        """Answer once the question is complete; disconnect a caller that sends more than one line or one too long."""
        self.size += nbytes
        if self.answering:
            self.transport.abort()
            return
        end = self.buffer.find(b"\n", 0, self.size)
        if end >= 0:
            line = bytes(self.buffer[:end])
            self.answering = asyncio.get_running_loop().create_task(self._answer(line))
        elif self.size == MAX_QUESTION_BYTES:
            self.transport.abort()

    async def _answer(self, line: bytes) -> None:
        try:
            answer = await self.control.answer(line)
        except Exception as error:
            log_event(events.CONTROL_FAILED, why=f"{type(error).__name__}: {error}")
            answer = {"fault": "the sender could not answer; its log says why"}
        self.transport.write(msgspec.json.encode(answer) + b"\n")
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Give back what the connection holds."""
        self.control.callers.discard(self)
        if self.timeout:
            self.timeout.cancel()
        if self.answering:
            self.answering.cancel()


class ControlSocket:
    """The listening socket and its callers.

    Attributes:
        collect_status: a coroutine function from the number of destinations to list to the status.
        callers: open connections.
        path: of the socket; empty while it is closed.
        token: what a caller must send; empty for nothing.
        lines: destinations listed where a caller names no number.
    """

    def __init__(self, collect_status: Callable[[int], Awaitable[dict[str, Any]]]) -> None:
        self.collect_status = collect_status
        self.callers: set[Caller] = set()
        self.server: asyncio.Server | None = None
        self.path = self.token = ""
        self.lines = 50

    async def move(self, path: str, token: str, lines: int) -> None:
        """Put the `[control]` section in force; a path that can't be opened is logged and has no other effect."""
        self.token, self.lines = token, lines
        if path == self.path:
            return
        self.close()
        if not path:
            return
        try:
            self.server = await asyncio.get_running_loop().create_unix_server(
                lambda: Caller(self), sock=_listening_socket(path), backlog=4 * MAX_CALLERS
            )
        except OSError as error:
            return log_event(events.CONTROL_FAILED, at=path, why=str(error))
        self.path = path
        log_event(events.CONTROL_LISTENING, at=path)

    async def answer(self, line: bytes) -> dict[str, Any]:
        """Return the answer to a question, or a map with `fault` where it can't be answered."""
        try:
            question = msgspec.json.decode(line, type=Question)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return {"fault": f"the question can't be read: {error}"}
        if self.token and not hmac.compare_digest(question.token.encode(), self.token.encode()):
            return {"fault": "the token is not the one in control.token"}
        if question.ask != "status":
            return {"fault": f"{question.ask!r} can't be asked; status can"}
        return await self.collect_status(max(0, min(question.lines, MAX_LINES)) or self.lines)

    def close(self) -> None:
        """Disconnect all callers and remove the socket."""
        for caller in list(self.callers):
            caller.transport.abort()
        if self.server:
            self.server.close()
            try:
                os.unlink(self.path)
            except OSError:
                pass
        self.server, self.path = None, ""


def _listening_socket(path: str) -> socket.socket:
    """Return a socket bound to the path, for its owner alone.

    A socket file that a killed process left is replaced. Raises OSError where a live process listens there.
    """
    _remove_stale_socket(path)
    listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        previous_umask = os.umask(0o177)
        try:
            listening.bind(path)
        finally:
            os.umask(previous_umask)
    except OSError:
        listening.close()
        raise
    return listening


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

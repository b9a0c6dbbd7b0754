"""The console's listener and its callers: few, short, and never at the mails' cost.

It owns the listening socket and every caller's connection; `Caller.connection_lost` is where one is given back. One
request is read, answered at once and the connection ends; who says nothing gives way to whoever comes.
"""
import asyncio
from typing import Any

from ..log import events, log_event, log_internal_error
from ..net.http import Malformed, Reader, Stream, answer, listening
from . import calls

MOST_CALLERS = 8
AT_ONCE = 4             # accepted in one turn of the loop
QUEUE = 64              # connections that the system keeps for the next turns
PATIENCE = 1.5          # seconds for a call from connecting to its end: who called waits 1 s
MOST_BODY = 4096        # bytes that a caller may send along; they mean nothing
DESCRIPTORS = MOST_CALLERS + 2 * AT_ONCE + 1


class Caller(Stream):
    def __init__(self, console: "Console") -> None:
        super().__init__(Reader(most_body=MOST_BODY))
        self.console, self.answered = console, False
        self.late: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.late = asyncio.get_running_loop().call_later(PATIENCE, transport.abort)
        self.console.enter(self)

    def arrived(self) -> None:
        if self.answered:
            return self.reader.drop()       # one call to a connection
        status, extra, body = 500, b"", b""
        try:
            message = self.reader.take()
            if message is None:
                return
            status, extra, body = calls.answer(message.first, self.console.sender)
        except Malformed as malformed:
            status = malformed.status
        except Exception:                   # a fault of ours costs this call, not the process
            log_internal_error("console")
        self.answered = True
        self.reader.drop()
        self.transport.write(answer(status, True, extra, body))
        self.transport.write_eof()          # and the caller's own end, or `late`, gives the connection back

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if self.late:
            self.late.cancel()
        self.console.callers.pop(self, None)


class Console:
    def __init__(self, sender: calls.Operated) -> None:
        self.sender = sender
        self.callers: dict[Caller, None] = {}       # the longest here first
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Listens, and gives the address. OSError where it can't."""
        server = listening(host, port)
        self.server = await asyncio.get_running_loop().create_server(lambda: Caller(self), sock=server,
                                                                     backlog=AT_ONCE)
        server.listen(QUEUE)        # the loop takes one figure for both
        at: tuple[str, int] = server.getsockname()[:2]
        log_event(events.CONSOLE_LISTENING, at="%s:%d" % at)
        return at

    def enter(self, caller: Caller) -> None:
        """Guards against callers that connect and ask nothing: the one that has been here longest gives way."""
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()

    def close(self) -> None:
        if self.server:
            self.server.close()
        for caller in list(self.callers):
            caller.transport.abort()

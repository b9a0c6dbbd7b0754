"""Scripted receivers, clients and stores for the data plane tests; they are event-driven and never sleep."""

import fcntl
import json
import os
import socket
import struct
import termios
import threading
from collections.abc import Callable, Sequence
from contextlib import contextmanager

from loopback_server import LoopbackServer

from dewpin.cluster.configuration import Configuration, parse_configuration
from dewpin.cluster.receivers import Receiver
from dewpin.cluster.store_messages import TurnRecord
from dewpin.dataplane.http11.messages import Client, Headers, Request
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.programs.history import History
from dewpin.dataplane.programs.program_store import (
    Reservation,
    Settlement,
    Turn,
    TurnStart,
)

PATIENCE_S = 10.0
"""Limit of each wait in a test, so that a fault makes the test fail instead of hang."""

HOST = "tier.example"
SERVICE = "workers"


class ReceivedRequest:
    """A request read by a scripted receiver."""

    def __init__(self, head: bytes, body: bytes) -> None:
        self.line, *fields = head.decode("latin-1").split("\r\n")
        self.fields = [tuple(field.split(": ", 1)) for field in fields]
        self.headers = {name.lower(): value for name, value in self.fields}
        self.body = body

    @property
    def id(self) -> str:
        return self.headers["x-dewpin-request-id"]


class PeerConnection:
    """The receiver's end of one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._buffer = b""
        sock.settimeout(PATIENCE_S)

    def read_request(self) -> ReceivedRequest | None:
        """Read the next request with its Content-Length body; return None once the caller has closed the connection."""
        while b"\r\n\r\n" not in self._buffer:
            received = self._socket.recv(65536)
            if not received:
                return None
            self._buffer += received
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        request = ReceivedRequest(head, b"")
        length = int(request.headers.get("content-length", "0"))
        while len(self._buffer) < length:
            self._buffer += self._socket.recv(65536)
        request.body, self._buffer = self._buffer[:length], self._buffer[length:]
        return request

    def send(self, data: bytes) -> None:
        self._socket.sendall(data)

    def wait_until_acknowledged(self) -> None:
        """Wait until the peer's TCP stack has acknowledged all sent data, so that a reset cannot discard any of it."""
        while struct.unpack("i", fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]:
            os.sched_yield()

    def wait_for_close(self) -> bool:
        """Wait for the caller; return whether it closes or resets the connection instead of sending data."""
        try:
            return self._socket.recv(1) == b""
        except ConnectionError:
            return True

    def reset(self) -> None:
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._socket.close()

    def close(self) -> None:
        self._socket.close()


Script = Callable[[PeerConnection, ReceivedRequest], object]
"""Handles one request; the connection is closed if it returns True."""


class Listener(LoopbackServer):
    """A server that routing finds as a receiver."""

    def __init__(self, id: str, zone: str, capacity: int) -> None:
        super().__init__()
        self.receiver = Receiver(id, SERVICE, self.address, zone, capacity, False, 0.0, "v1")


class ScriptedReceiver(Listener):
    """Serves each request with the next script; the last script serves all remaining requests."""

    def __init__(self, *scripts: Script, id: str = "i-1", zone: str = "here", capacity: int = 4) -> None:
        self._scripts = list(scripts)
        self._lock = threading.Lock()
        self.requests: list[ReceivedRequest] = []
        self.faults: list[BaseException] = []
        super().__init__(id, zone, capacity)

    def _serve(self, connection: socket.socket) -> None:
        peer = PeerConnection(connection)
        try:
            while (request := peer.read_request()) is not None:
                with self._lock:
                    self.requests.append(request)
                    script = self._scripts.pop(0) if len(self._scripts) > 1 else self._scripts[0]
                if script(peer, request):
                    break
        except OSError as fault:
            self.faults.append(fault)
        finally:
            peer.close()


class RawReceiver(Listener):
    """Passes each connection to a script, which reads the requests itself."""

    def __init__(self, script: Callable[[socket.socket], None], id: str = "i-1") -> None:
        self._script = script
        super().__init__(id, "here", 4)

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(PATIENCE_S)
        self._script(connection)


def read_head(sock: socket.socket) -> ReceivedRequest:
    """Read a request head byte by byte, so that no part of the body is consumed."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        data += sock.recv(1)
    return ReceivedRequest(data[:-4], b"")


@contextmanager
def receivers(*scripted: ScriptedReceiver):
    """Provide the receivers of scripted ones, which are closed at the end of the block."""
    try:
        yield [each.receiver for each in scripted]
    finally:
        for each in scripted:
            each.close()


def head(request: ReceivedRequest, status: str = "200 OK", *fields: str, signed: bool = True) -> bytes:
    """Return the head of a response, without framing fields and the final empty line."""
    lines = [f"HTTP/1.1 {status}", f"X-Dewpin-Request-Id: {request.id}", *fields]
    if signed:
        lines.append(f"X-Dewpin-Response-Signature: signed-{request.id}")
    return ("\r\n".join(lines) + "\r\n").encode()


def full_response(body: bytes = b"done", status: str = "200 OK", *fields: str, signed: bool = True) -> Script:
    """Create a script that responds with a complete body."""

    def respond(connection: PeerConnection, request: ReceivedRequest) -> None:
        length = f"Content-Length: {len(body)}"
        connection.send(head(request, status, length, *fields, signed=signed) + b"\r\n" + body)

    return respond


def rejection(*fields: str) -> Script:
    """Create a script that rejects a request because the receiver has no free slot."""
    return full_response(b"", "503 Service Unavailable", "X-Dewpin-Not-Executed: 1", *fields, signed=False)


def reset(connection: PeerConnection, request: ReceivedRequest) -> bool:
    """Reset the connection instead of responding."""
    connection.reset()
    return True


def close(connection: PeerConnection, request: ReceivedRequest) -> bool:
    """Close the connection instead of responding."""
    return True


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int, data: str = "") -> bytes:
    return f"id: {number}\ndata: {data or f't{number}'}\n\n".encode()


END = b"0\r\n\r\n"
STREAM_FIELDS = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")


def stream_head(request: ReceivedRequest) -> bytes:
    return head(request, "200 OK", *STREAM_FIELDS) + b"\r\n"


def stream(*parts: bytes, is_complete: bool = True) -> Script:
    """Create a script that sends the parts as chunks, followed by the last chunk if `is_complete`."""

    def respond(connection: PeerConnection, request: ReceivedRequest) -> bool:
        connection.send(stream_head(request) + b"".join(chunk(part) for part in parts) + (END if is_complete else b""))
        return not is_complete

    return respond


def configuration(kind: str = "idempotent", retries: int = 2, **fields: object) -> Configuration:
    """Create a configuration with a single route at `/`."""
    route = {
        "name": "route",
        "hostname": HOST,
        "path_prefix": "/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_ms": 2000,
        "backend": SERVICE,
        "retries": retries,
        **fields,
    }
    service = {"name": SERVICE, "max_conns": 64, "engine": {"capacity": 4, "chunk_size": 10}}
    return parse_configuration(json.dumps({"generation": 1, "routes": [route], "services": [service]}).encode())


def request(
    *fields: tuple[str, str],
    method: str = "POST",
    target: str = "/work",
    body: bytes = b"input",
    now: float = 0.0,
    request_id: str = "r-1",
    client: Client | None = None,
) -> Request:
    """Create a request as the ingress server passes it to the request handler."""
    header_fields = [("Host", HOST), ("X-Dewpin-Request-Id", request_id), ("Content-Length", str(len(body))), *fields]
    return Request(method, target, Headers(header_fields), body, now, client)


class DisconnectingClient:
    """A client that can disconnect; stands for the sender's end of its connection."""

    def __init__(self) -> None:
        self.sender_end, self.client_end = socket.socketpair()

    def fileno(self) -> int:
        return self.sender_end.fileno()

    def has_disconnected(self) -> bool:
        try:
            return self.sender_end.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def disconnect(self) -> None:
        self.client_end.close()


class MemoryStore:
    """An in-memory program store that records its calls; operations in `fails` raise StoreUnavailableError."""

    def __init__(self, fails: Sequence[str] = ()) -> None:
        self.fails = set(fails)
        self.turns: dict[str, Turn] = {}
        self.reserved: list[tuple[str, str, int, int]] = []
        self.settled: list[tuple[str, int]] = []
        self.spent: dict[str, int] = {}
        self.on_store_turn: Callable[[Turn], None] = lambda turn: None

    def reserve(self, program: str, turn_id: str, max_tokens: int, budget: int, timeout_s: float) -> Reservation:
        self._check("reserve")
        if self.spent.get(program, 0) + max_tokens > budget:
            raise BudgetExceededError
        self.spent[program] = self.spent.get(program, 0) + max_tokens
        self.reserved.append((program, turn_id, max_tokens, budget))
        return Reservation(program, turn_id, max_tokens)

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        self.spent[reservation.program] += used_tokens - reservation.max_tokens
        self.settled.append((reservation.turn_id, used_tokens))

    def read_history(self, program: str, previous_id: str, timeout_s: float) -> History:
        self._check("read_history")
        records: list[TurnRecord] = []
        next_id: str | None = previous_id
        while next_id is not None:
            turn = self.turns.get(next_id)
            if turn is None or turn.program != program:
                raise TurnNotFoundError
            retain_ms = int(turn.retain_s * 1000)
            records.append(TurnRecord(turn.id, program, turn.previous_id, retain_ms, turn.input, turn.output))
            next_id = turn.previous_id
        return History.of(reversed(records))

    def begin_turn(
        self, program: str, turn_id: str, max_tokens: int, budget: int, previous_id: str, timeout_s: float
    ) -> TurnStart:
        reservation = self.reserve(program, turn_id, max_tokens, budget, timeout_s)
        try:
            return TurnStart(reservation, self.read_history(program, previous_id, timeout_s))
        except BaseException:
            self.settle(reservation, 0)
            raise

    def store_turn(self, turn: Turn, timeout_s: float, settlement: Settlement | None = None) -> None:
        if settlement is not None:
            self.settle(settlement.reservation, settlement.used_tokens)
        self._check("store_turn")
        self.on_store_turn(turn)
        self.turns[turn.id] = turn

    def _check(self, operation: str) -> None:
        if operation in self.fails:
            raise StoreUnavailableError

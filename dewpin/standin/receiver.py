"""A stand-in receiver: a plain service, or a stream service that emits events with rising ids.

The words of a stream hang on the request's body alone, so that another receiver can pick the stream up.
"""

import hashlib
import threading
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypedDict

from .http_service import HeaderField, HttpHandler, HttpServer
from .protocol import (
    DRAIN_PATH,
    HEALTH_PATH,
    HOLD_AFTER,
    INSTANCE_ID,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    RELEASE_PATH,
    REPORT_PATH,
    REQUEST_DEADLINE,
    REQUEST_ID,
    REQUESTS_PATH,
    SERVER_LOAD,
    SIGNATURE,
    TARGET_INSTANCE,
    TOKEN_USAGE,
)
from .slots import Admission, Slots

KEEP_ALIVE_S = 5
MOST_HOLD_S = 20.0
MOST_REMEMBERED = 1000
DEFAULT_WAIT_S = 10.0
DEFAULT_EVENTS = 4
FULL_RETRY_AFTER_S = "0.1"


class SeenRequest(TypedDict):
    """A request that a receiver ran."""

    id: str
    method: str
    path: str
    body: str


@dataclass(frozen=True, slots=True)
class ReceiverOptions:
    """What a receiver is; times in ms. `chunk_size`: tokens in each event of a stream."""

    id: str
    backend: str
    slots: int = 4
    most_waiting: int = 4
    work_ms: float = 10.0
    stream: bool = False
    event_ms: float = 20.0
    chunk_size: int = 10


class ReceiverServer:
    """The server of one receiver."""

    def __init__(self, address: tuple[str, int], options: ReceiverOptions) -> None:
        self.options = options
        self.slots = Slots(options.slots, options.most_waiting)
        self.draining = False
        self.released = threading.Event()
        self.seen: deque[SeenRequest] = deque(maxlen=MOST_REMEMBERED)
        handler = type("BoundReceiverHandler", (_ReceiverHandler,), {"receiver": self})
        self.server = HttpServer(address, handler)

    def start(self) -> None:
        """Serve in the background."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def load(self) -> str:
        """Return the value of X-Dewpin-Server-Load: running, waiting, slots."""
        return f"{self.slots.running},{self.slots.waiting},{self.slots.count}"


class _ReceiverHandler(HttpHandler):
    receiver: ReceiverServer
    timeout = KEEP_ALIVE_S

    def do_GET(self) -> None:
        body = self.read_body()
        if self.url_path == REPORT_PATH:
            self._report()
        elif self.url_path == REQUESTS_PATH:
            self.reply_json(200, list(self.receiver.seen))
        elif self.url_path == HEALTH_PATH:
            self._health()
        else:
            self._serve(body)

    def do_POST(self) -> None:
        body = self.read_body()
        if self.url_path == DRAIN_PATH:
            self.receiver.draining = True
            self.reply(200)
        elif self.url_path == RELEASE_PATH:
            self.receiver.released.set()
            self.reply(200)
        else:
            self._serve(body)

    do_PUT = do_POST

    def _report(self) -> None:
        slots = self.receiver.slots
        self.reply_json(200, {"stage": "both", "models": [], "queued": slots.waiting, "running": slots.running})

    def _health(self) -> None:
        fields = [(INSTANCE_ID, self.receiver.options.id), *self._common_fields()]
        self.reply(503 if self.receiver.draining else 200, b"", fields)

    def _serve(self, body: bytes) -> None:
        target = self.headers.get(TARGET_INSTANCE)
        if not self.headers.get(REQUEST_ID):
            self._refuse(400, "no request id")
        elif target is not None and target != self.receiver.options.id:
            self._refuse(421, "another receiver")
        else:
            self._admit(body)

    def _admit(self, body: bytes) -> None:
        admission = self.receiver.slots.acquire(self._wait_s())
        if admission is not Admission.RUNS:
            self._refuse(503, admission.value)
            return
        try:
            self._remember(body)
            if self.receiver.options.stream:
                self._stream(body)
            else:
                self._work(body)
        finally:
            self.receiver.slots.release()

    def _remember(self, body: bytes) -> None:
        seen = SeenRequest(
            id=self.headers[REQUEST_ID], method=self.command, path=self.path, body=body.decode("utf-8", "replace")
        )
        self.receiver.seen.append(seen)

    def _work(self, body: bytes) -> None:
        time.sleep(self.receiver.options.work_ms / 1000)
        done = f"{self.receiver.options.id} did {self.command} {self.path} with {len(body)} bytes\n"
        self.reply(200, done.encode(), [("Content-Type", "text/plain"), *self._signed_fields()])

    def _stream(self, body: bytes) -> None:
        self.send_response_only(200)
        fields = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *self._signed_fields()]
        for name, value in fields:
            self.send_header(name, value)
        self.end_headers()
        for event in self._events(body):
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")

    def _events(self, body: bytes) -> Iterator[bytes]:
        options = self.receiver.options
        words = stream_words(body, event_count(self.headers.get(TOKEN_USAGE), options.chunk_size))
        first = int(self.headers.get(LAST_EVENT_ID) or "0")
        hold_after = int(self.headers.get(HOLD_AFTER) or "0")
        for number, word in enumerate(words[first:], first + 1):
            time.sleep(options.event_ms / 1000)
            yield f"id: {number}\ndata: {word}\n\n".encode()
            if number == hold_after:
                self.receiver.released.wait(MOST_HOLD_S)
                self.receiver.released.clear()

    def _refuse(self, status: int, why: str) -> None:
        fields = [(NOT_EXECUTED, why), *self._common_fields()]
        if status == 503:
            fields.append(("Retry-After", FULL_RETRY_AFTER_S))
        self.reply(status, b"", fields)

    def _signed_fields(self) -> list[HeaderField]:
        stamp = signature(self.receiver.options.id, self.headers[REQUEST_ID])
        return [(SIGNATURE, stamp), *self._common_fields()]

    def _common_fields(self) -> list[HeaderField]:
        fields = [(SERVER_LOAD, self.receiver.load()), ("Keep-Alive", f"timeout={KEEP_ALIVE_S}")]
        request_id = self.headers.get(REQUEST_ID)
        if request_id:
            fields.append((REQUEST_ID, request_id))
        if self.receiver.draining:
            fields.append(("Connection", "close"))
        return fields

    def _wait_s(self) -> float:
        try:
            return float(self.headers.get(REQUEST_DEADLINE) or "") / 1000
        except ValueError:
            return DEFAULT_WAIT_S


def signature(receiver_id: str, request_id: str) -> str:
    """Return the value of X-Dewpin-Response-Signature."""
    return hashlib.sha256(f"{receiver_id} {request_id}".encode()).hexdigest()[:24]


def event_count(token_usage: str | None, chunk_size: int) -> int:
    """Return how many events hold the most tokens that X-Dewpin-Token-Usage (prompt, most out) allows."""
    if token_usage is None:
        return DEFAULT_EVENTS
    return max(1, int(token_usage.rpartition(",")[2]) // chunk_size)


def stream_words(body: bytes, count: int) -> list[str]:
    """Return the data of a stream's events: how much was read, then words drawn from the body."""
    digest = hashlib.sha256(body).hexdigest()
    lines = len(body.splitlines())
    return [f"read {lines} lines", *(f"word-{digest[:4]}-{number}" for number in range(2, count + 1))]

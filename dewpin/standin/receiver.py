"""A stand-in receiver of a plain service, or of a stream service that sends events with increasing ids."""

import hashlib
import threading
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypedDict

from .endless_response import EndlessForm, endless_response
from .event_stream import event_count, event_data
from .http_server import HeaderField, HttpHandler, HttpServer
from .protocol import (
    ANSWER_BYTES,
    DRAIN_PATH,
    FAULT_PATH,
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
from .slot_pool import AcquireResult, SlotPool

KEEP_ALIVE_TIMEOUT_S = 5
MAX_HOLD_S = 20.0
MAX_EXECUTED_REQUESTS = 1000
MAX_RECORDED_BODY_BYTES = 64 * 1024
DEFAULT_SLOT_WAIT_S = 10.0
FULL_RETRY_AFTER_S = "0.1"


class ExecutedRequest(TypedDict):
    """An executed request with the beginning of its body, as reported by the receiver in JSON."""

    id: str
    method: str
    path: str
    body: str


@dataclass(frozen=True, slots=True)
class ReceiverOptions:
    """Options of a receiver.

    id, backend: id of the receiver, and its service.
    slots, max_waiting: maximum numbers of concurrent requests, and of requests waiting for a slot.
    work_ms: duration of a plain request.
    is_streaming: whether it responds with a stream of events.
    event_ms: pause before each event.
    chunk_size: tokens in each event.
    """

    id: str
    backend: str
    slots: int = 4
    max_waiting: int = 4
    work_ms: float = 10.0
    is_streaming: bool = False
    event_ms: float = 20.0
    chunk_size: int = 10


@dataclass(frozen=True, slots=True)
class ResponseFault:
    """A fault of a receiver: each request that it executes gets a response without end, behind a status."""

    form: EndlessForm
    status: int


class ReceiverServer:
    """The HTTP server of one receiver.

    slots: the slots for concurrent requests.
    is_draining: whether the receiver is draining; its health check then fails.
    hold_released: set to continue a stream paused by Standin-Hold-After.
    executed_requests: the most recently executed requests.
    fault: how the receiver responds until it is repaired; None if it is sound.
    """

    def __init__(self, address: tuple[str, int], options: ReceiverOptions) -> None:
        self.options = options
        self.slots = SlotPool(options.slots, options.max_waiting)
        self.is_draining = False
        self.hold_released = threading.Event()
        self.fault: ResponseFault | None = None
        self.executed_requests: deque[ExecutedRequest] = deque(maxlen=MAX_EXECUTED_REQUESTS)
        handler = type("BoundReceiverHandler", (_ReceiverHandler,), {"receiver": self})
        self.server = HttpServer(address, handler)

    def start(self) -> None:
        """Serve in the background."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def load(self) -> str:
        """Return the value of X-Dewpin-Server-Load: running requests, waiting requests, slots."""
        return f"{self.slots.running},{self.slots.waiting},{self.slots.capacity}"


class _ReceiverHandler(HttpHandler):
    receiver: ReceiverServer
    timeout = KEEP_ALIVE_TIMEOUT_S

    def do_GET(self) -> None:
        body = self.read_body()
        if self.url_path == REPORT_PATH:
            self._respond_report()
        elif self.url_path == REQUESTS_PATH:
            self.respond_json(200, list(self.receiver.executed_requests))
        elif self.url_path == HEALTH_PATH:
            self._respond_health()
        else:
            self._serve(body)

    def do_POST(self) -> None:
        body = self.read_body()
        if self.url_path == DRAIN_PATH:
            self.receiver.is_draining = True
            self.respond(200)
        elif self.url_path == RELEASE_PATH:
            self.receiver.hold_released.set()
            self.respond(200)
        elif self.url_path == FAULT_PATH:
            self._set_fault(body)
        else:
            self._serve(body)

    do_PUT = do_POST

    def _respond_report(self) -> None:
        slots = self.receiver.slots
        self.respond_json(200, {"stage": "both", "models": [], "queued": slots.waiting, "running": slots.running})

    def _respond_health(self) -> None:
        fields = [(INSTANCE_ID, self.receiver.options.id), *self._common_fields()]
        self.respond(503 if self.receiver.is_draining else 200, b"", fields)

    def _serve(self, body: bytes) -> None:
        target = self.headers.get(TARGET_INSTANCE)
        if not self.headers.get(REQUEST_ID):
            self._reject(400, "no request id")
        elif target is not None and target != self.receiver.options.id:
            self._reject(421, "another receiver")
        else:
            self._execute_in_slot(body)

    def _execute_in_slot(self, body: bytes) -> None:
        acquired = self.receiver.slots.acquire(self._slot_wait_s())
        if acquired is not AcquireResult.ACQUIRED:
            self._reject(503, acquired.value)
            return
        try:
            self._record_execution(body)
            fault = self.receiver.fault
            if fault is not None:
                self._respond_without_end(fault)
            elif self.receiver.options.is_streaming:
                self._stream(body)
            else:
                self._respond_plain(body)
        finally:
            self.receiver.slots.release()

    def _set_fault(self, body: bytes) -> None:
        """Set the fault `form status` of the body; an empty body repairs the receiver."""
        form, _, status = body.decode().partition(" ")
        self.receiver.fault = ResponseFault(EndlessForm(form), int(status)) if form else None
        self.respond(200)

    def _respond_without_end(self, fault: ResponseFault) -> None:
        """Send bytes until the caller closes the connection or the receiver is repaired."""
        self.close_connection = True
        fields = "".join(f"{name}: {value}\r\n" for name, value in self._signed_fields()).encode()
        status_line = f"HTTP/1.1 {fault.status} {HTTPStatus(fault.status).phrase}\r\n".encode()
        for part in endless_response(fault.form).parts(status_line, fields):
            if self.receiver.fault is not fault:
                return
            self.wfile.write(part)

    def _record_execution(self, body: bytes) -> None:
        executed = ExecutedRequest(
            id=self.headers[REQUEST_ID],
            method=self.command,
            path=self.path,
            body=body[:MAX_RECORDED_BODY_BYTES].decode("utf-8", "replace"),
        )
        self.receiver.executed_requests.append(executed)

    def _respond_plain(self, body: bytes) -> None:
        time.sleep(self.receiver.options.work_ms / 1000)
        text = f"{self.receiver.options.id} did {self.command} {self.path} with {len(body)} bytes\n"
        self.respond(200, self._padded(text).encode(), [("Content-Type", "text/plain"), *self._signed_fields()])

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
        events = event_data(body, event_count(self.headers.get(TOKEN_USAGE), options.chunk_size))
        resume_after = int(self.headers.get(LAST_EVENT_ID) or "0")
        hold_after = int(self.headers.get(HOLD_AFTER) or "0")
        for number, data in enumerate(events[resume_after:], resume_after + 1):
            time.sleep(options.event_ms / 1000)
            yield f"id: {number}\ndata: {self._padded(data)}\n\n".encode()
            if number == hold_after:
                self.receiver.hold_released.wait(MAX_HOLD_S)
                self.receiver.hold_released.clear()

    def _reject(self, status: int, reason: str) -> None:
        fields = [(NOT_EXECUTED, reason), *self._common_fields()]
        if status == 503:
            fields.append(("Retry-After", FULL_RETRY_AFTER_S))
        self.respond(status, b"", fields)

    def _signed_fields(self) -> list[HeaderField]:
        value = signature(self.receiver.options.id, self.headers[REQUEST_ID])
        return [(SIGNATURE, value), *self._common_fields()]

    def _common_fields(self) -> list[HeaderField]:
        fields = [(SERVER_LOAD, self.receiver.load()), ("Keep-Alive", f"timeout={KEEP_ALIVE_TIMEOUT_S}")]
        request_id = self.headers.get(REQUEST_ID)
        if request_id:
            fields.append((REQUEST_ID, request_id))
        if self.receiver.is_draining:
            fields.append(("Connection", "close"))
        return fields

    def _padded(self, text: str) -> str:
        """Return a text of the minimum size that the client asked for."""
        return text.ljust(int(self.headers.get(ANSWER_BYTES) or "0"))

    def _slot_wait_s(self) -> float:
        try:
            return float(self.headers.get(REQUEST_DEADLINE) or "") / 1000
        except ValueError:
            return DEFAULT_SLOT_WAIT_S


def signature(receiver_id: str, request_id: str) -> str:
    """Return the value of X-Dewpin-Response-Signature."""
    return hashlib.sha256(f"{receiver_id} {request_id}".encode()).hexdigest()[:24]

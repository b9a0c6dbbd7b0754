"""The operator's API over HTTP: Config.Put, Config.Patch, Config.Get, Retire.Start, Retire.Get."""

from __future__ import annotations

import asyncio
import json
import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, TypeVar

from dewpin.cluster.body_messages import patch_digest
from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration, parse_patch
from dewpin.controlplane.register.register import RegisterUnavailable, SystemRegister
from dewpin.controlplane.register.system_state import (
    AnotherVersionIsCurrent,
    Change,
    ChangeRefused,
    GenerationNotAbove,
    OrderForgotten,
    PatchInvalid,
    SystemState,
    TooFewWouldRemain,
    UnknownMachine,
    configuration_digest,
    patch_configuration,
    put_configuration,
    retirement_is_done,
    start_retirement,
)

log = logging.getLogger(__name__)
Parsed = TypeVar("Parsed")

ANSWER_WITHIN_S = 0.85
LEAST_LOOKUP_S = 0.05
"""For a look into the history of orders, also where the register took the whole time."""
IDLE_TIMEOUT_S = 20.0
MOST_BODY_BYTES = 16 * 1024 * 1024
BASE_VERSION_HEADER = "X-Dewpin-Base-Version"

_STATUS_OF_REFUSAL: dict[type[ChangeRefused], int] = {
    AnotherVersionIsCurrent: 412,
    GenerationNotAbove: 400,
    UnknownMachine: 404,
    TooFewWouldRemain: 409,
}


class Answer(Exception):
    """Ends a call with a status and a JSON body."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(status)
        self.status = status
        self.body = body


def _fault(status: int, *faults: str) -> Answer:
    return Answer(status, json.dumps({"errors": list(faults)}).encode())


@dataclass(frozen=True, slots=True)
class _Order:
    """What tells an order that changes the configuration from all others."""

    generation: int
    digest: str


def _base_version(header: str | None) -> int:
    """The version that an order builds on. Raises the answer that refuses the order."""
    try:
        return int(header or "0")
    except ValueError:
        raise _fault(400, f"{BASE_VERSION_HEADER}: expected a whole number, got {header!r}") from None


def _checked(parse: Callable[[bytes], Parsed], body: bytes) -> Parsed:
    """What an order's body says. Raises the answer that refuses the order."""
    try:
        body.decode("utf-8")
        return parse(body)
    except InvalidConfigurationError as invalid:
        raise _fault(400, *invalid.lines()) from None
    except UnicodeDecodeError:
        raise _fault(400, "the body is not UTF-8") from None


class OperatorApi:
    """Turns the operator's calls into changes and reads of the register, which lives on `loop`."""

    def __init__(self, register: SystemRegister, loop: asyncio.AbstractEventLoop, least_stores: int) -> None:
        self._register = register
        self._loop = loop
        self._least_stores = least_stores

    def put(self, body: bytes, base_header: str | None) -> Answer:
        """Config.Put."""
        base = _base_version(base_header)
        configuration = _checked(parse_configuration, body)
        order = _Order(configuration.generation, configuration_digest(body, base))
        return self._take(order, put_configuration(body, configuration.generation, base))

    def patch(self, body: bytes, base_header: str | None) -> Answer:
        """Config.Patch."""
        base = _base_version(base_header)
        patch = _checked(parse_patch, body)
        order = _Order(patch.generation, patch_digest(body, base))
        return self._take(order, patch_configuration(patch, order.digest, base))

    def _take(self, order: _Order, change: Change) -> Answer:
        """Makes the change of an order. One that is too old to be remembered is looked up."""
        began_s = time.monotonic()
        try:
            answer = self._change(change)
        except OrderForgotten:
            left_s = ANSWER_WITHIN_S - (time.monotonic() - began_s)
            answer = self._answer_from_history(order, left_s)
        return answer or Answer(200, json.dumps({"generation": order.generation}).encode())

    def get(self) -> Answer:
        """Config.Get: the newest configuration, by a quorum's word."""
        state = self._agreed(lambda present: present)
        if isinstance(state, Answer):
            return state
        configuration = state["configuration"]
        if configuration is None:
            return _fault(404, "no configuration yet")
        return Answer(200, configuration["body"].encode())

    def start_retirement(self, name: str) -> Answer:
        """Retire.Start."""
        answer = self._change(start_retirement(name, self._least_stores))
        return answer or Answer(200, b'{"state":"running"}')

    def retirement(self, name: str) -> Answer:
        """Retire.Get."""
        state = self._agreed(lambda present: present)
        if isinstance(state, Answer):
            return state
        if retirement_is_done(state, name):
            return Answer(200, b'{"state":"done"}')
        if name in state["retiring"]:
            return Answer(200, b'{"state":"running"}')
        return _fault(404, f"{name} is not being retired")

    def _change(self, change: Change) -> Answer | None:
        """Makes a change; None if it stands, else the answer that tells why not."""
        result = self._agreed(change)
        return result if isinstance(result, Answer) else None

    def _answer_from_history(self, order: _Order, left_s: float) -> Answer | None:
        """None if the order was taken. It is refused only if it surely wasn't."""
        generation = order.generation
        future: Future[bool | None] = asyncio.run_coroutine_threadsafe(
            self._register.was_taken(generation, order.digest, max(left_s, LEAST_LOOKUP_S)), self._loop
        )
        try:
            was_taken = future.result(ANSWER_WITHIN_S)
        except FutureTimeout:
            was_taken = None
        if was_taken is None:
            return _fault(503, f"generation {generation} is too old to tell whether it was taken")
        return None if was_taken else _fault(412, f"generation {generation} is not the one that was taken")

    def _agreed(self, change: Change) -> SystemState | Answer:
        future: Future[SystemState] = asyncio.run_coroutine_threadsafe(
            self._register.propose(change, ANSWER_WITHIN_S), self._loop
        )
        try:
            return future.result(ANSWER_WITHIN_S + 0.1)
        except OrderForgotten:
            raise
        except PatchInvalid as invalid:
            return _fault(400, *invalid.faults)
        except ChangeRefused as refused:
            return _fault(_STATUS_OF_REFUSAL.get(type(refused), 503), str(refused))
        except (RegisterUnavailable, FutureTimeout) as fault:
            return _fault(503, f"no quorum: {fault}")


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = IDLE_TIMEOUT_S
    disable_nagle_algorithm = True
    api: OperatorApi

    def do_GET(self) -> None:
        self._serve()

    def do_POST(self) -> None:
        self._serve()

    def _serve(self) -> None:
        try:
            answer = self._answer(self._body())
        except Answer as unread:
            answer = unread
            self.close_connection = True
        except Exception as fault:
            log.exception("operator.call_failed")
            answer = _fault(500, repr(fault))
            self.close_connection = True
        self._reply(answer)

    def _answer(self, body: bytes) -> Answer:
        try:
            return self._route(body)
        except Answer as refusal:
            return refusal

    def _route(self, body: bytes) -> Answer:
        path = self.path.partition("?")[0]
        if path == "/dewpin/Config.Put" and self.command == "POST":
            return self.api.put(body, self.headers.get(BASE_VERSION_HEADER))
        if path == "/dewpin/Config.Patch" and self.command == "POST":
            return self.api.patch(body, self.headers.get(BASE_VERSION_HEADER))
        if path == "/dewpin/Config.Get":
            return self.api.get()
        if path.startswith("/dewpin/Retire.Start/") and self.command == "POST":
            return self.api.start_retirement(path.rpartition("/")[2])
        if path.startswith("/dewpin/Retire.Get/"):
            return self.api.retirement(path.rpartition("/")[2])
        return _fault(404, f"no such call: {path}")

    def _body(self) -> bytes:
        if "chunked" in (self.headers.get("Transfer-Encoding") or "").lower():
            return self._chunked_body()
        try:
            length = int(self.headers.get("Content-Length") or "0")
        except ValueError:
            raise _fault(400, "Content-Length is no number") from None
        if not 0 <= length <= MOST_BODY_BYTES:
            raise _fault(413, "the body is too large")
        body = self.rfile.read(length)
        if len(body) < length:
            raise _fault(400, "the body is cut short")
        return body

    def _chunked_body(self) -> bytes:
        body = b""
        while True:
            size = self._chunk_size()
            if size == 0:
                break
            if len(body) + size > MOST_BODY_BYTES:
                raise _fault(413, "the body is too large")
            chunk = self.rfile.read(size)
            if len(chunk) < size or self.rfile.readline(4).strip():
                raise _fault(400, "a chunk is cut short")
            body += chunk
        while self.rfile.readline(1024).strip():
            pass
        return body

    def _chunk_size(self) -> int:
        digits = self.rfile.readline(64).partition(b";")[0].strip()
        if not digits or set(digits) - set(b"0123456789abcdefABCDEF"):
            raise _fault(400, "bad chunk")
        return int(digits, 16)

    def _reply(self, answer: Answer) -> None:
        self.send_response(answer.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(answer.body)))
        if self.close_connection:
            self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(answer.body)

    def log_message(self, format: str, *args: Any) -> None:
        log.debug("operator.http", extra={"line": format % args})


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def server_bind(self) -> None:
        """Binds without looking the host's name up."""
        self.socket.setsockopt(1, 2, 1)  # SOL_SOCKET, SO_REUSEADDR
        self.socket.bind(self.server_address)
        self.server_name, self.server_port = self.server_address[:2]  # type: ignore[assignment]

    def handle_error(self, request: Any, client_address: Any) -> None:
        log.debug("operator.connection_failed", exc_info=True)


def serve_operator(address: tuple[str, int], api: OperatorApi) -> ThreadingHTTPServer:
    """Begins to serve the API in threads. OSError if the address can't be had."""
    handler = type("OperatorHandler", (_Handler,), {"api": api})
    server = _Server(address, handler)
    threading.Thread(target=server.serve_forever, args=(0.5,), name="operator", daemon=True).start()
    return server

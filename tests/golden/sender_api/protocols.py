"""The sender's protocols: with clients, receivers, the agent and operators."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
from golden.sender_api.sender_process import submit_result
from golden.sender_api.stored_data import ENDINGS, OUTCOME_NAMES, format_receiver
from golden.sender_api.text_encoding import octets, text

from dewpin.console.calls import ReceiverChange, SenderMetrics
from dewpin.console.server import ConsoleServer
from dewpin.daemon.control_socket import ControlSocket
from dewpin.net.connection_pool import ConnectionPool
from dewpin.net.endpoint_watch import EndpointWatch
from dewpin.net.errors import MalformedMessageError
from dewpin.net.http_messages import Request
from dewpin.net.http_parser import RequestParser, ResponseParser
from dewpin.net.notice_publisher import AgentNoticePublisher
from dewpin.net.server import HttpServer
from dewpin.net.watch_schedule import WatchSchedule
from dewpin.ports import (
    AttemptRequest,
)


def read_messages(pieces, are_responses=False):
    """Parse bytes that arrive in these pieces; return (messages, status of the rejection or None)."""
    parser, messages, status = ResponseParser() if are_responses else RequestParser(), [], None
    try:
        for piece in pieces:
            parser.feed(piece)
            while message := parser.next_message():
                messages.append(message)
        if are_responses and (message := parser.end_of_input()):
            messages.append(message)
    except MalformedMessageError as error:
        status = error.status
    return [
        {
            "first_line": first_line_of(message),
            "headers": {text(name): text(value) for name, value in message.fields.items()},
            "body": text(message.body),
            "connection_ends": message.closes_connection,
        }
        for message in messages
    ], status


def first_line_of(message):
    if isinstance(message, Request):
        parts = message.method, message.target, message.version
    else:
        parts = message.version, b"%d" % message.status, message.reason
    return [text(part) for part in parts]


class StubRelay:
    """Replaces the relay at the clients' listener: records submissions and returns a scripted result."""

    def __init__(self, result, is_stopping=False):
        self.result, self.is_draining, self.calls = result, is_stopping, []

    def submit(self, request):
        self.calls.append(
            {
                "id": text(request.message_id),
                "queue_class": text(request.queue_class),
                "tenant": text(request.account),
                "ordering_key": text(request.ordering_key),
                "destination": text(request.destination),
                "idempotency_key": text(request.idempotency_key),
                "body": text(request.body),
                "left_ms": request.remaining_ms,
                "repeated": request.is_resubmission,
            }
        )
        if isinstance(self.result, Exception):
            raise self.result
        return submit_result(*self.result)


@asynccontextmanager
async def client_listener(relay):
    """The listener for clients; yields its address."""
    server = HttpServer(asyncio.get_running_loop(), relay)
    try:
        yield await server.open("127.0.0.1", 0)
    finally:
        server.close()


@asynccontextmanager
async def receiver_calls():
    """Calls to receivers; yields `call(host, port, id, idempotency key, body, timeout in ms)`, which returns a dict."""
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(loop, 3000.0, 15000.0)

    async def call(host, port, ident, idempotency_key, body, timeout_ms, send_window_ms=5000.0):
        finished = loop.create_future()
        pool.send(
            AttemptRequest(
                (host, port, b"r1"),
                octets(ident),
                octets(idempotency_key),
                body,
                timeout_ms,
                lambda: send_window_ms,
                finished.set_result,
            )
        )
        outcome, wait_ms, _duration_ms, load, is_withdrawn = msgspec.structs.astuple(await finished)
        return {"outcome": OUTCOME_NAMES[outcome], "wait_ms": wait_ms, "load": load, "over": is_withdrawn}

    try:
        yield call
    finally:
        pool.close()


@asynccontextmanager
async def agent_watch(address, revision, updates):
    """The watch on the agent's list; each update is appended to `updates` as plain values."""

    def learn(entries, complete, revision):
        updates.append(
            {
                "receivers": [format_receiver(entry) for entry in entries],
                "complete": complete,
                "revision": revision,
            }
        )

    watch = EndpointWatch(address, revision, learn, WatchSchedule(1, 1000.0, 5))
    try:
        yield watch
    finally:
        watch.stop()


@asynccontextmanager
async def agent_notices(address):
    """Yields `publish(id, is_deferred, retry delay in ms, on_acknowledged)`."""
    notices = AgentNoticePublisher(address)

    def publish(ident, is_deferred, retry_after_ms, on_acknowledged):
        notices.publish(octets(ident), is_deferred, retry_after_ms, on_acknowledged)

    try:
        yield publish
    finally:
        notices.stop()


@asynccontextmanager
async def control_socket(path, token, describe):
    control = ControlSocket(describe)
    await control.move(str(path), token, 50)
    try:
        yield
    finally:
        control.close()


class StubOperatorActions:
    """Replaces a sender at the operators' console; its only receiver is `a b`."""

    def __init__(self, started=True, ready=True):
        self.started, self.ready = started, ready

    def is_ready(self):
        return self.ready

    def metrics(self):
        if not self.started:
            return None
        endings = {ENDINGS["relayed"]: 3, ENDINGS["retryable"]: 2, ENDINGS["failed"]: 1}
        return SenderMetrics(
            {b"notice": endings, b"caf\xe9": endings}, sent=4, pending=5, listed_receivers=7, avoided_receivers=6
        )

    def detach(self, ident):
        return ReceiverChange.DONE if ident == b"a b" else ReceiverChange.UNKNOWN_RECEIVER

    def attach(self, ident):
        return ReceiverChange.DONE if ident == b"a b" else ReceiverChange.UNAVAILABLE


@asynccontextmanager
async def operators_console(operations):
    console = ConsoleServer(operations)
    try:
        yield await console.open("127.0.0.1", 0)
    finally:
        console.close()

"""The HTTP server of operators and the platform: connections, header sections and bodies are bounded."""

import socket
import threading

import pytest

from dewpin.cluster.bounded_http_server import (
    MAX_CONNECTIONS,
    MAX_HEAD_BYTES,
    BoundedHttpServer,
    BoundedRequestHandler,
)
from dewpin.cluster.memory_budget import STALLED_AFTER_S, MemoryBudget, MemoryBudgetExceededError

BUDGET_BYTES = 1_000_000
BODY_BYTES = 600_000
PATIENCE_S = 10.0


class _Handler(BoundedRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        self.begin_body()
        try:
            is_complete = self.read_into_body(int(self.headers["Content-Length"]))
            self.memory.check_not_evicted()
            answer = b"%d" % len(self.take_body()) if is_complete else b"incomplete"
        except MemoryBudgetExceededError:
            answer = b"refused"
            self.close_connection = True
        self.send_response_only(200)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    def log_message(self, format, *args):
        pass


@pytest.fixture
def server():
    server = BoundedHttpServer(("127.0.0.1", 0), _Handler, MemoryBudget(BUDGET_BYTES))
    threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


def connect(server):
    return socket.create_connection(server.server_address, PATIENCE_S)


def post(length, body=b""):
    return b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length + body


def read_answer(client):
    reader = client.makefile("rb")
    lines = iter(reader.readline, b"\r\n")
    lengths = [int(line.partition(b":")[2]) for line in lines if line.lower().startswith(b"content-length")]
    return reader.read(lengths[0])


def test_body_is_released_after_its_request(server):
    with connect(server) as client:
        for _ in range(4):
            client.sendall(post(BODY_BYTES, bytes(BODY_BYTES)))
            assert read_answer(client) == b"%d" % BODY_BYTES
    assert server.budget.held_bytes <= BODY_BYTES


def test_stalled_body_gives_way_to_another(server):
    with connect(server) as stalled, connect(server) as client:
        stalled.sendall(post(BODY_BYTES, bytes(BODY_BYTES - 1)))
        threading.Event().wait(2 * STALLED_AFTER_S)
        client.sendall(post(BODY_BYTES, bytes(BODY_BYTES)))
        assert read_answer(client) == b"%d" % BODY_BYTES
        assert stalled.recv(1) == b""


def test_header_section_that_is_too_large_is_rejected(server):
    with connect(server) as client:
        client.sendall(b"POST / HTTP/1.1\r\n")
        line = b"Field: " + b"a" * 10_000 + b"\r\n"
        client.sendall(line * (MAX_HEAD_BYTES // len(line) + 1))
        assert client.recv(100).startswith(b"HTTP/1.1 431 ")


def test_request_line_that_is_too_long_is_rejected(server):
    with connect(server) as client:
        client.sendall(b"POST /" + b"a" * 70_000 + b" HTTP/1.1\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 414 ")


def test_oldest_connection_is_closed_for_a_new_one(server):
    clients = [connect(server) for _ in range(MAX_CONNECTIONS + 1)]
    assert clients[0].recv(1) == b""
    for client in clients[1:]:
        client.sendall(post(1, b"a"))
        assert read_answer(client) == b"1"
        client.close()

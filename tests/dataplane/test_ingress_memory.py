"""The ingress server within its memory budget: refusals, evictions, small chunks, and connections above the limit."""

import itertools
import threading

import pytest
from dataplane.ingress_harness import RawClient, cluster_state
from dataplane.peers import PATIENCE_S

from dewpin.cluster.memory_budget import STALLED_AFTER_S, MemoryBudget
from dewpin.cluster.settings import MachineLimits
from dewpin.dataplane.http11.messages import Response
from dewpin.dataplane.ingress.chunked_body_reader import MAX_PAUSE_S, SmallChunkPacer
from dewpin.dataplane.ingress.connection_handler import MAX_EMPTY_LINE_BYTES
from dewpin.dataplane.ingress.open_connections import MAX_CONNECTIONS, connection_limit
from dewpin.dataplane.ingress.server import IngressServer

BUDGET_BYTES = 1_000_000
BODY_BYTES = 600_000
LIMITS = {"max_body_bytes": 2 * BUDGET_BYTES, "max_header_bytes": 1000}


@pytest.fixture
def serve():
    servers = []

    def start(respond=lambda request: Response(200, [], b"%d" % len(request.body)), max_connections=100):
        budget = MemoryBudget(BUDGET_BYTES)
        servers.append(IngressServer(cluster_state(**LIMITS), respond, max_connections=max_connections, budget=budget))
        servers[-1].start(("127.0.0.1", 0))
        return servers[-1], budget

    yield start
    for server in servers:
        server.stop(0.0)


def post(length, body=b""):
    return b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length + body


def wait_until_held(budget, held_bytes):
    for _ in range(int(PATIENCE_S * 100)):
        if budget.held_bytes >= held_bytes:
            return
        threading.Event().wait(0.01)
    raise AssertionError(f"{budget.held_bytes} bytes are held")


def wait_until_released(budget):
    for _ in range(int(PATIENCE_S * 100)):
        if budget.held_bytes == 0:
            return
        threading.Event().wait(0.01)
    raise AssertionError(f"{budget.held_bytes} bytes are held")


def connect_until_served(server):
    """Connect again and again, since another connection is closed only after a time; return the one that is served."""
    for _ in range(int(PATIENCE_S * 10)):
        client = RawClient(server.address)
        try:
            client.send("GET / HTTP/1.1", "Host: h")
            assert client.read()[0] == 200
            return client
        except (EOFError, ConnectionError):
            client.close()
            threading.Event().wait(0.1)
    raise AssertionError("no connection was served")


def test_body_that_does_not_fit_gets_503_with_retry_after_and_closes_the_connection(serve):
    started, proceed = threading.Event(), threading.Event()

    def respond(request):
        started.set()
        assert proceed.wait(PATIENCE_S)
        return Response(200, [], b"done")

    server, budget = serve(respond)
    first, second = RawClient(server.address), RawClient(server.address)
    first.socket.sendall(post(BODY_BYTES, bytes(BODY_BYTES)))
    assert started.wait(PATIENCE_S)
    second.socket.sendall(post(BODY_BYTES, bytes(BODY_BYTES)))
    status, headers, _ = second.read()
    assert (status, headers["connection"]) == (503, "close")
    assert float(headers["retry-after"]) > 0
    proceed.set()
    assert first.read()[0] == 200


def test_incomplete_body_without_progress_gives_way(serve):
    server, budget = serve()
    stalled, client = RawClient(server.address), RawClient(server.address)
    stalled.socket.sendall(post(BODY_BYTES, bytes(BODY_BYTES - 1)))
    wait_until_held(budget, BODY_BYTES - 1)
    threading.Event().wait(STALLED_AFTER_S)
    client.socket.sendall(post(BODY_BYTES, bytes(BODY_BYTES)))
    assert client.read()[2] == b"%d" % BODY_BYTES
    assert stalled.read()[0] == 503
    wait_until_released(budget)


def test_single_body_larger_than_the_budget_is_served_and_released(serve):
    server, budget = serve()
    client = RawClient(server.address)
    for _ in range(3):
        client.socket.sendall(post(LIMITS["max_body_bytes"], bytes(LIMITS["max_body_bytes"])))
        assert client.read()[2] == b"%d" % LIMITS["max_body_bytes"]
    client.close()
    wait_until_released(budget)


def test_unread_response_gives_way_to_a_request(serve):
    responses = {"GET": bytes(50 * BUDGET_BYTES), "POST": b"done"}
    server, budget = serve(lambda request: _charged(request, responses[request.method]))
    reader, client = RawClient(server.address), RawClient(server.address)
    reader.send("GET / HTTP/1.1", "Host: h")
    wait_until_held(budget, BUDGET_BYTES)
    threading.Event().wait(2 * STALLED_AFTER_S)
    client.socket.sendall(post(BODY_BYTES, bytes(BODY_BYTES)))
    assert client.read()[2] == b"done"


def _charged(request, body):
    request.memory.add(len(body), has_priority=True)
    return Response(200, [], body)


@pytest.mark.parametrize(
    "sizes", [(1,), (1, 3, 2, 15, 16, 300), (2, 70_000, 1)], ids=["one byte", "different", "mixed"]
)
def test_body_in_chunks_of_any_size_is_the_same(serve, sizes):
    body = bytes(range(256)) * 1000 + b"\r\n" * 1000
    chunks, start = [], 0
    for size in itertools.cycle(sizes):
        chunk = body[start : start + size]
        if not chunk:
            break
        chunks.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        start += size
    server, _ = serve(lambda request: Response(200, [], request.body))
    client = RawClient(server.address)
    client.send("POST / HTTP/1.1", "Host: h", "Transfer-Encoding: chunked", body=b"".join(chunks) + b"0\r\n\r\n")
    assert client.read()[2] == body


def test_small_chunks_over_the_limit_get_413(serve):
    server, _ = serve()
    client = RawClient(server.address)
    client.send("POST / HTTP/1.1", "Host: h", "Transfer-Encoding: chunked", body=b"1\r\na\r\n" * 2_000_100)
    assert client.read()[0] == 413


def test_endless_trailers_get_431(serve):
    server, _ = serve()
    client = RawClient(server.address)
    client.send("POST / HTTP/1.1", "Host: h", "Transfer-Encoding: chunked", body=b"0\r\n" + b"a: b\r\n" * 1000)
    assert client.read()[0] == 431


def test_connection_with_only_empty_lines_is_closed(serve):
    server, _ = serve()
    client = RawClient(server.address)
    client.socket.sendall(b"\r\n" * MAX_EMPTY_LINE_BYTES)
    with pytest.raises((EOFError, ConnectionResetError)):
        client.read()


def test_pauses_of_connections_follow_each_other():
    pauses = []
    pacer = SmallChunkPacer(pauses.append)
    pacer.pause(0.001)
    pacer.pause(10.0)
    assert pauses == [0.001, MAX_PAUSE_S]


def test_longest_idle_connection_is_closed_for_a_new_one(serve):
    server, _ = serve(max_connections=2)
    first, second = RawClient(server.address), RawClient(server.address)
    for client in (first, second):
        client.send("GET / HTTP/1.1", "Host: h")
        assert client.read()[0] == 200
    connect_until_served(server)
    assert first.is_closed()
    second.send("GET / HTTP/1.1", "Host: h")
    assert second.read()[0] == 200


def test_connection_with_an_incomplete_request_is_closed_for_a_new_one(serve):
    server, _ = serve(max_connections=1)
    stalled = RawClient(server.address)
    stalled.socket.sendall(b"GET / HTTP/1.1\r\n")
    connect_until_served(server)
    assert stalled.read()[0] == 503


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        (MachineLimits(), MAX_CONNECTIONS),
        (MachineLimits(max_fds=4100, memory_mb=300.0), 2806),
        (MachineLimits(max_fds=600, memory_mb=150.0), 356),
        (MachineLimits(max_fds=4100, memory_mb=20.0), 200),
        (MachineLimits(max_fds=10), 1),
    ],
)
def test_connection_limit_follows_from_descriptors_and_memory(limits, expected):
    assert connection_limit(limits) == expected

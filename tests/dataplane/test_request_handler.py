"""Requests through the request handler to scripted receivers, under the settings of their routes."""

import threading

import pytest
from dataplane.peers import (
    PATIENCE_S,
    MemoryStore,
    ScriptedReceiver,
    close,
    configuration,
    event,
    full_response,
    receivers,
    rejection,
    request,
    reset,
    stream,
)
from dataplane.request_handler_harness import RequestHandlerHarness, header, read

from dewpin.dataplane.programs.history import History, HistoryTurn
from dewpin.dataplane.programs.program_store import Turn

FAILURES = [reset, close, full_response(b"no", "500 Internal Server Error", signed=False)]


def test_response_is_forwarded_with_status_headers_and_signature():
    peer = ScriptedReceiver(full_response(b"done", "201 Created", "X-Thing: a", "Keep-Alive: timeout=9"))
    with receivers(peer) as listed:
        response = RequestHandlerHarness(listed)()
    assert (response.status, response.body) == (201, b"done")
    assert header(response, "x-dewpin-response-signature") == "signed-r-1"
    assert header(response, "x-dewpin-request-id") == "r-1"
    assert header(response, "x-thing") == "a"
    assert header(response, "keep-alive") is None


def test_headers_named_by_connection_header_are_not_forwarded():
    with receivers(ScriptedReceiver(full_response(b"", "200 OK", "Connection: X-Hop", "X-Hop: 1"))) as listed:
        response = RequestHandlerHarness(listed)()
    assert header(response, "x-hop") is header(response, "connection") is None


def test_request_without_route_gets_404():
    harness = RequestHandlerHarness([])
    assert harness(target="/x").status == 503
    harness.state.configuration = configuration(path_prefix="/other/")
    assert harness(target="/x").status == 404
    assert harness.handler.metrics.not_routed == 1


def test_request_without_route_gets_503_while_configuration_is_unconfirmed():
    harness = RequestHandlerHarness([])
    harness.state.configuration = configuration(path_prefix="/other/")
    harness.state.is_current = lambda: False
    response = harness(target="/x")
    assert response.status == 503
    assert float(header(response, "retry-after")) > 0
    assert harness.handler.metrics.not_routed == 0
    harness.state.is_current = lambda: True
    assert harness(target="/x").status == 404


def test_request_before_first_configuration_gets_503():
    harness = RequestHandlerHarness([])
    harness.state.configuration = None
    response = harness()
    assert response.status == 503
    assert float(header(response, "retry-after")) > 0


def test_request_without_id_gets_400():
    harness = RequestHandlerHarness([])
    complete_request = request()
    request_without_id = type(complete_request)(
        "GET", "/", type(complete_request.headers)([("Host", "tier.example")]), b"", 0.0
    )
    assert harness.handler.handle(request_without_id).status == 400


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf"])
def test_invalid_request_deadline_gets_400(value):
    assert RequestHandlerHarness([])(("X-Dewpin-Request-Deadline", value)).status == 400


@pytest.mark.parametrize("failure", FAILURES)
def test_idempotent_request_is_retried_at_another_receiver_after_backoff(failure):
    first, second = ScriptedReceiver(failure, id="i-1"), ScriptedReceiver(failure, id="i-2")
    success = full_response(b"done")
    first._scripts.append(success)
    second._scripts.append(success)
    with receivers(first, second) as listed:
        harness = RequestHandlerHarness(listed, kind="idempotent", retries=3)
        response = harness()
    assert response.status == 200
    assert len(harness.backoffs_s) >= 1
    assert harness.handler.metrics.attempts == 3
    assert first.requests
    assert second.requests


@pytest.mark.parametrize("kind", ["non_idempotent", "stream"])
@pytest.mark.parametrize("failure", FAILURES)
def test_non_idempotent_request_with_unknown_effect_gets_502(failure, kind):
    peers = [ScriptedReceiver(failure, id=name) for name in ("i-1", "i-2")]
    with receivers(*peers) as listed:
        harness = RequestHandlerHarness(listed, kind=kind)
        response = harness()
    assert response.status == 502
    assert header(response, "x-dewpin-response-signature") is None
    assert header(response, "retry-after") is None
    assert harness.handler.metrics.attempts == 1
    assert sum(len(peer.requests) for peer in peers) == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_rejected_request_is_retried_at_another_receiver_at_once(kind):
    full_receiver, free_receiver = (
        ScriptedReceiver(rejection(), id="i-1"),
        ScriptedReceiver(full_response(b"done"), id="i-2", zone="there"),
    )
    with receivers(full_receiver, free_receiver) as listed:
        harness = RequestHandlerHarness(listed, frozen=True, kind=kind)
        assert harness().status == 200
        assert harness.backoffs_s == []
    assert len(full_receiver.requests) == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_request_rejected_by_all_receivers_gets_503_with_retry_after(kind):
    peers = [ScriptedReceiver(rejection(), id=name) for name in ("i-1", "i-2", "i-3")]
    with receivers(*peers) as listed:
        harness = RequestHandlerHarness(listed, kind=kind, retries=2)
        response = harness()
    assert response.status == 503
    assert 0 < float(header(response, "retry-after")) < 1
    assert header(response, "x-dewpin-response-signature") is None
    assert sum(len(peer.requests) for peer in peers) == 2
    assert harness.handler.metrics.not_executed == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_unreachable_receiver_is_skipped(kind):
    down, up = (
        ScriptedReceiver(full_response(), id="i-1"),
        ScriptedReceiver(full_response(b"done"), id="i-2", zone="there"),
    )
    down.close()
    with receivers(up):
        harness = RequestHandlerHarness([down.receiver, up.receiver], frozen=True, kind=kind, retries=1)
        assert harness().status == 200
        assert harness().status == 200
    assert harness.handler.metrics.connects == 2


def test_request_gets_503_while_all_receivers_are_unreachable():
    down = ScriptedReceiver(full_response())
    down.close()
    assert RequestHandlerHarness([down.receiver], kind="non_idempotent", target_ms=100)().status == 503


def test_misdirected_request_is_retried_and_receiver_blocked():
    other = ScriptedReceiver(
        full_response(b"", "421 Misdirected Request", "X-Dewpin-Instance-Id: i-9", signed=False), id="i-1"
    )
    matching = ScriptedReceiver(full_response(b"done"), id="i-2", zone="there")
    with receivers(other, matching) as listed:
        harness = RequestHandlerHarness(listed, frozen=True, kind="non_idempotent")
        assert harness().status == 200
        assert harness().status == 200
    assert len(other.requests) == 1


@pytest.mark.parametrize("kind", ["non_idempotent", "stream"])
def test_signed_error_of_receiver_is_forwarded(kind):
    with receivers(ScriptedReceiver(full_response(b"no", "500 Internal Server Error"))) as listed:
        response = RequestHandlerHarness(listed, kind=kind)()
    assert (response.status, response.body) == (500, b"no")
    assert header(response, "x-dewpin-response-signature") == "signed-r-1"


def test_signed_error_of_idempotent_request_is_retried_then_forwarded():
    peers = [ScriptedReceiver(full_response(b"no", "500 Internal Server Error"), id=name) for name in ("i-1", "i-2")]
    with receivers(*peers) as listed:
        response = RequestHandlerHarness(listed, retries=2)()
    assert (response.status, header(response, "x-dewpin-response-signature")) == (500, "signed-r-1")
    assert [len(peer.requests) for peer in peers] == [1, 1]


@pytest.mark.parametrize("status", ["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"])
def test_status_that_claims_no_execution_without_proof_is_not_forwarded(status):
    with receivers(ScriptedReceiver(full_response(b"no", status))) as listed:
        response = RequestHandlerHarness(listed, kind="non_idempotent")()
    assert response.status == 502
    assert header(response, "x-dewpin-response-signature") is None


def test_unsigned_success_is_not_forwarded():
    with receivers(ScriptedReceiver(full_response(b"done", signed=False))) as listed:
        response = RequestHandlerHarness(listed, kind="non_idempotent")()
    assert (response.status, header(response, "x-dewpin-response-signature")) == (502, None)


def test_request_without_response_gets_504_at_deadline():
    def stay_silent(connection, received):
        connection.wait_for_close()

    with receivers(ScriptedReceiver(stay_silent)) as listed:
        harness = RequestHandlerHarness(listed, kind="idempotent", target_ms=50)
        response = harness(("X-Dewpin-Request-Deadline", "100"))
    assert response.status == 504
    assert harness.handler.metrics.attempts == 1


def test_request_near_deadline_gets_503_unsent():
    peer = ScriptedReceiver(full_response())
    with receivers(peer) as listed:
        assert RequestHandlerHarness(listed, target_ms=1000)(("X-Dewpin-Request-Deadline", "90")).status == 503
    assert peer.requests == []


def test_request_gets_503_early_while_service_is_full():
    started, proceed = threading.Semaphore(0), threading.Event()

    def hold(connection, received):
        started.release()
        assert proceed.wait(PATIENCE_S)
        full_response()(connection, received)

    with receivers(ScriptedReceiver(hold, capacity=1)) as listed:
        harness = RequestHandlerHarness(listed, target_ms=100)
        threads = [threading.Thread(target=harness) for _ in range(2)]
        for thread in threads:
            thread.start()
        for _ in threads:
            assert started.acquire(timeout=PATIENCE_S)
        response = harness()
        assert response.status == 503
        assert float(header(response, "retry-after")) > 0
        proceed.set()
        for thread in threads:
            thread.join(PATIENCE_S)


TURN = (("Program", "p"), ("Budget", "100"), ("X-Dewpin-Token-Usage", "5,40"))


def test_turn_is_sent_with_its_history_then_stored_and_settled():
    store = MemoryStore()
    store.turns["t-1"] = Turn("t-1", "p", None, b"first", b"answer\n", 60.0)
    history = History((HistoryTurn("t-1", 60_000, len(b"first"), len(b"answer\n")),), b"firstanswer\ninput")
    peer = ScriptedReceiver(stream(event(1, "a"), event(2, "b")))
    with receivers(peer) as listed:
        harness = RequestHandlerHarness(listed, store, kind="stream", retained=True)
        assert read(harness(*TURN, ("Previous", "t-1"))) == (event(1, "a") + event(2, "b"), False)
    (received,) = peer.requests
    assert received.body == b"firstanswer\ninput"
    assert received.headers["content-length"] == str(len(received.body))
    assert received.headers["previous"] == "t-1"
    assert store.turns["r-1"] == Turn("r-1", "p", "t-1", b"input", b"a\nb\n", 60.0, history)
    assert store.settled == [("r-1", 20)]


@pytest.mark.parametrize(
    ("spent", "fails", "previous", "status"),
    [
        (70, [], None, 402),
        (0, ["reserve"], None, 503),
        (0, [], "t-9", 404),
        (0, ["read_history"], "t-9", 503),
    ],
)
def test_turn_that_cannot_be_opened_is_not_sent(spent, fails, previous, status):
    store = MemoryStore(fails)
    store.spent["p"] = spent
    peer = ScriptedReceiver(stream(event(1)))
    with receivers(peer) as listed:
        fields = [*TURN, ("Previous", previous)] if previous else TURN
        response = RequestHandlerHarness(listed, store, kind="stream", retained=True)(*fields)
    assert response.status == status
    assert (header(response, "retry-after") is not None) == (status == 503)
    assert peer.requests == []
    assert store.spent["p"] == spent


def test_turn_rejected_by_all_receivers_returns_its_budget():
    store = MemoryStore()
    with receivers(ScriptedReceiver(rejection())) as listed:
        assert RequestHandlerHarness(listed, store, kind="stream", retained=True, target_ms=50)(*TURN).status == 503
    assert store.settled == [("r-1", 0)]


def test_turn_that_cannot_be_stored_ends_incomplete():
    store = MemoryStore(["store_turn"])
    with receivers(ScriptedReceiver(stream(event(1)))) as listed:
        assert read(RequestHandlerHarness(listed, store, kind="stream", retained=True)(*TURN)) == (event(1), True)
    assert store.settled == [("r-1", 10)]

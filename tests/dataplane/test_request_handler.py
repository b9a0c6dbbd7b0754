"""Requests from the ingress to scripted receivers and back, under the rules of their routes."""

import json
import threading

import pytest
from dataplane.peers import (
    PATIENCE_S,
    MemoryStore,
    ScriptedReceiver,
    close,
    configuration,
    event,
    receivers,
    refusal,
    request,
    reset,
    stream,
    whole,
)
from dataplane.request_handler_harness import Path, header, read

from dewpin.cluster.configuration import parse_configuration
from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.programs.program_store import Turn
from dewpin.dataplane.routing.affinity import share_of_key, sticky_key
from dewpin.dataplane.routing.request_timeout import request_timeout_s
from dewpin.dataplane.routing.service_choice import choose_service

FAILURES = [reset, close, whole(b"no", "500 Internal Server Error", signed=False)]


def test_response_is_forwarded_with_status_headers_and_signature():
    peer = ScriptedReceiver(whole(b"done", "201 Created", "X-Thing: a", "Keep-Alive: timeout=9"))
    with receivers(peer) as listed:
        answer = Path(listed)()
    assert (answer.status, answer.body) == (201, b"done")
    assert header(answer, "x-dewpin-response-signature") == "signed-r-1"
    assert header(answer, "x-dewpin-request-id") == "r-1"
    assert header(answer, "x-thing") == "a"
    assert header(answer, "keep-alive") is None


def test_headers_named_by_connection_header_are_not_forwarded():
    with receivers(ScriptedReceiver(whole(b"", "200 OK", "Connection: X-Hop", "X-Hop: 1"))) as listed:
        answer = Path(listed)()
    assert header(answer, "x-hop") is header(answer, "connection") is None


def test_request_without_route_gets_404():
    path = Path([])
    assert path(target="/x").status == 503
    path.state.configuration = configuration(path_prefix="/other/")
    assert path(target="/x").status == 404
    assert path.path.metrics.not_routed == 1


def test_request_without_route_gets_503_while_configuration_is_unconfirmed():
    path = Path([])
    path.state.configuration = configuration(path_prefix="/other/")
    path.state.is_current = lambda: False
    answer = path(target="/x")
    assert answer.status == 503
    assert float(header(answer, "retry-after")) > 0
    assert path.path.metrics.not_routed == 0
    path.state.is_current = lambda: True
    assert path(target="/x").status == 404


def test_request_before_first_configuration_gets_503():
    path = Path([])
    path.state.configuration = None
    answer = path()
    assert answer.status == 503
    assert float(header(answer, "retry-after")) > 0


def test_request_without_id_gets_400():
    path = Path([])
    asked = request()
    bare = type(asked)("GET", "/", type(asked.headers)([("Host", "tier.example")]), b"", 0.0)
    assert path.path.handle(bare).status == 400


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf"])
def test_invalid_request_deadline_gets_400(value):
    assert Path([])(("X-Dewpin-Request-Deadline", value)).status == 400


@pytest.mark.parametrize(("told", "allowed_s"), [("1200", 1.2), ("99999", 5.0), (None, 5.0)])
def test_request_timeout_is_the_lesser_of_client_and_route(told, allowed_s):
    fields = [("X-Dewpin-Request-Deadline", told)] if told else []
    assert request_timeout_s(request(*fields).headers, configuration().routes[0]) == allowed_s


@pytest.mark.parametrize("failure", FAILURES)
def test_idempotent_request_is_retried_at_another_receiver_after_backoff(failure):
    first, second = ScriptedReceiver(failure, id="i-1"), ScriptedReceiver(failure, id="i-2")
    good = whole(b"done")
    first._scripts.append(good)
    second._scripts.append(good)
    with receivers(first, second) as listed:
        path = Path(listed, kind="idempotent", retries=3)
        answer = path()
    assert answer.status == 200
    assert len(path.pauses) >= 1
    assert path.path.metrics.attempts == 3
    assert first.requests
    assert second.requests


@pytest.mark.parametrize("kind", ["non_idempotent", "stream"])
@pytest.mark.parametrize("failure", FAILURES)
def test_non_idempotent_request_with_unknown_effect_gets_502(failure, kind):
    peers = [ScriptedReceiver(failure, id=name) for name in ("i-1", "i-2")]
    with receivers(*peers) as listed:
        path = Path(listed, kind=kind)
        answer = path()
    assert answer.status == 502
    assert header(answer, "x-dewpin-response-signature") is None
    assert header(answer, "retry-after") is None
    assert path.path.metrics.attempts == 1
    assert sum(len(peer.requests) for peer in peers) == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_rejected_request_is_retried_at_another_receiver_at_once(kind):
    full, free = ScriptedReceiver(refusal(), id="i-1"), ScriptedReceiver(whole(b"done"), id="i-2", zone="there")
    with receivers(full, free) as listed:
        path = Path(listed, frozen=True, kind=kind)
        assert path().status == 200
        assert path.pauses == []
    assert len(full.requests) == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_request_rejected_by_all_receivers_gets_503_with_retry_after(kind):
    peers = [ScriptedReceiver(refusal(), id=name) for name in ("i-1", "i-2", "i-3")]
    with receivers(*peers) as listed:
        path = Path(listed, kind=kind, retries=2)
        answer = path()
    assert answer.status == 503
    assert 0 < float(header(answer, "retry-after")) < 1
    assert header(answer, "x-dewpin-response-signature") is None
    assert sum(len(peer.requests) for peer in peers) == 2
    assert path.path.metrics.not_executed == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_unreachable_receiver_is_passed_over(kind):
    down, up = ScriptedReceiver(whole(), id="i-1"), ScriptedReceiver(whole(b"done"), id="i-2", zone="there")
    down.close()
    with receivers(up):
        path = Path([down.receiver, up.receiver], frozen=True, kind=kind, retries=1)
        assert path().status == 200
        assert path().status == 200
    assert path.path.metrics.connects == 2


def test_request_gets_503_while_all_receivers_are_unreachable():
    down = ScriptedReceiver(whole())
    down.close()
    assert Path([down.receiver], kind="non_idempotent", target_ms=100)().status == 503


def test_misdirected_request_is_retried_and_receiver_blocked():
    other = ScriptedReceiver(whole(b"", "421 Misdirected Request", "X-Dewpin-Instance-Id: i-9", signed=False), id="i-1")
    meant = ScriptedReceiver(whole(b"done"), id="i-2", zone="there")
    with receivers(other, meant) as listed:
        path = Path(listed, frozen=True, kind="non_idempotent")
        assert path().status == 200
        assert path().status == 200
    assert len(other.requests) == 1


@pytest.mark.parametrize("kind", ["non_idempotent", "stream"])
def test_signed_error_of_receiver_is_forwarded(kind):
    with receivers(ScriptedReceiver(whole(b"no", "500 Internal Server Error"))) as listed:
        answer = Path(listed, kind=kind)()
    assert (answer.status, answer.body) == (500, b"no")
    assert header(answer, "x-dewpin-response-signature") == "signed-r-1"


def test_signed_error_of_idempotent_request_is_retried_then_forwarded():
    peers = [ScriptedReceiver(whole(b"no", "500 Internal Server Error"), id=name) for name in ("i-1", "i-2")]
    with receivers(*peers) as listed:
        answer = Path(listed, retries=2)()
    assert (answer.status, header(answer, "x-dewpin-response-signature")) == (500, "signed-r-1")
    assert [len(peer.requests) for peer in peers] == [1, 1]


@pytest.mark.parametrize("status", ["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"])
def test_status_that_promises_without_proof_is_not_forwarded(status):
    with receivers(ScriptedReceiver(whole(b"no", status))) as listed:
        answer = Path(listed, kind="non_idempotent")()
    assert answer.status == 502
    assert header(answer, "x-dewpin-response-signature") is None


def test_unsigned_success_is_not_forwarded():
    with receivers(ScriptedReceiver(whole(b"done", signed=False))) as listed:
        answer = Path(listed, kind="non_idempotent")()
    assert (answer.status, header(answer, "x-dewpin-response-signature")) == (502, None)


def test_request_without_response_gets_504_at_deadline():
    def stay_silent(connection, got):
        connection.wait_for_close()

    with receivers(ScriptedReceiver(stay_silent)) as listed:
        path = Path(listed, kind="idempotent", target_ms=50)
        answer = path(("X-Dewpin-Request-Deadline", "100"))
    assert answer.status == 504
    assert path.path.metrics.attempts == 1


def test_request_near_deadline_gets_503_unsent():
    peer = ScriptedReceiver(whole())
    with receivers(peer) as listed:
        assert Path(listed, target_ms=1000)(("X-Dewpin-Request-Deadline", "90")).status == 503
    assert peer.requests == []


def test_request_gets_503_early_while_service_is_full():
    begun, go_on = threading.Semaphore(0), threading.Event()

    def hold(connection, got):
        begun.release()
        assert go_on.wait(PATIENCE_S)
        whole()(connection, got)

    with receivers(ScriptedReceiver(hold, capacity=1)) as listed:
        path = Path(listed, target_ms=100)
        threads = [threading.Thread(target=path) for _ in range(2)]
        for thread in threads:
            thread.start()
        for _ in threads:
            assert begun.acquire(timeout=PATIENCE_S)
        answer = path()
        assert answer.status == 503
        assert float(header(answer, "retry-after")) > 0
        go_on.set()
        for thread in threads:
            thread.join(PATIENCE_S)


def test_service_is_chosen_by_weight_and_kept_for_sticky_key():
    shares = [{"backend": "a", "weight": 90}, {"backend": "b", "weight": 10}, {"backend": "c", "weight": 0}]
    given = configuration(kind="stream", sticky=True)
    body = {**given.raw, "services": [{"name": name} for name in "abc"]}
    body["routes"] = [{**body["routes"][0], "split": shares, "backend": None}]
    path = Path([])
    path.state.configuration = parse_configuration(json.dumps(body).encode())
    route = path.state.configuration.routes[0]
    drawn = [chosen_service(path, route, None) for _ in range(2000)]
    assert 1700 < drawn.count("a") < 1900
    assert drawn.count("c") == 0
    assert len({chosen_service(path, route, "session") for _ in range(50)}) == 1


def chosen_service(path, route, key):
    state = path.state
    return choose_service(state.configuration, route, state.receivers, key, path.path._random).name


def split_path(shares, listed):
    """Return a path whose only route is split by (service, weight), and that route; `listed`: receivers by service."""
    given = configuration(kind="stream", sticky=True)
    body = {**given.raw, "services": [{"name": name} for name, _ in shares]}
    split = [{"backend": name, "weight": weight} for name, weight in shares]
    body["routes"] = [{**body["routes"][0], "split": split, "backend": None}]
    path = Path([])
    path.state.configuration = parse_configuration(json.dumps(body).encode())
    path.state.receivers = listed
    return path, path.state.configuration.routes[0]


def receiver_of(service, number=1, draining=False, capacity=4):
    return Receiver(f"i-{service}-{number}", service, "127.0.0.1:1", "here", capacity, draining, 0.0, "v1")


CALM_REQUESTS = 200
MOST_OFF = 0.2


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (30, 70)])
@pytest.mark.parametrize("key", ["none", "programs"])
def test_each_service_of_split_gets_its_weight_however_few_receivers_it_has(weights, key):
    """Parts with one small receiver beside ten large ones; what a receiver bears counts for nothing here."""
    shares = list(zip("ab", weights, strict=True))
    listed = {"a": (receiver_of("a", capacity=1),), "b": tuple(receiver_of("b", n, capacity=64) for n in range(10))}
    path, route = split_path(shares, listed)
    for calm_time in range(20):
        keys = [None if key == "none" else f"p-{calm_time}-{n}" for n in range(CALM_REQUESTS)]
        drawn = [chosen_service(path, route, each) for each in keys]
        assert abs(drawn.count("a") / CALM_REQUESTS - weights[0] / 100) < MOST_OFF


@pytest.mark.parametrize("away", [(), (receiver_of("a", draining=True),)])
def test_service_with_only_draining_receivers_is_not_chosen_while_another_has_some(away):
    path, route = split_path([("a", 90), ("b", 10)], {"a": away, "b": (receiver_of("b"),)})
    drawn = {chosen_service(path, route, None) for _ in range(100)}
    assert drawn == {"b"}


def test_weights_hold_while_all_services_are_draining():
    listed = {name: (receiver_of(name, draining=True),) for name in "ab"}
    path, route = split_path([("a", 50), ("b", 50)], listed)
    drawn = {chosen_service(path, route, None) for _ in range(100)}
    assert drawn == {"a", "b"}


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ([("Program", "p"), ("Session", "s")], "p"),
        ([("Session", "s"), ("X-Dewpin-Prompt-Prefix", "aa:1,bb:2")], "s"),
        ([("X-Dewpin-Prompt-Prefix", "aa:1,bb:2,cc:3")], "bb"),
        ([("X-Dewpin-Prompt-Prefix", "aa:1")], "aa"),
        ([], None),
    ],
)
def test_sticky_key_of_prompt(fields, key):
    assert sticky_key(request(*fields)) == key


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ([("X-Dewpin-Session-Affinity", "17"), ("Program", "p")], "17"),
        ([("Cookie", "X-Dewpin-Session-Affinity=17"), ("Program", "p")], "17"),
        ([("Cookie", "a=b; x-dewpin-session-affinity=17; c")], "17"),
        ([("Cookie", "a=b"), ("Cookie", "X-Dewpin-Session-Affinity=17")], "17"),
        ([("Cookie", 'X-Dewpin-Session-Affinity="17"')], "17"),
        ([("Cookie", "X-Dewpin-Session-Affinity=1=7")], "1=7"),
        ([("Cookie", "X-Dewpin-Session-Affinity=17; X-Dewpin-Session-Affinity=18")], "17"),
        ([("Cookie", "X-Dewpin-Session-Affinity=; =; ;"), ("Program", "p")], "p"),
        ([("Cookie", "NotX-Dewpin-Session-Affinity=17")], None),
        ([("X-Dewpin-Session-Affinity", " ")], None),
        ([("Cookie", "X-Dewpin-Session-Affinity=17"), ("Program", "p"), ("X-Dewpin-Prompt-Prefix", "a:1,b:2")], "p"),
        ([("Cookie", "X-Dewpin-Session-Affinity=17"), ("X-Dewpin-Prompt-Prefix", "a:1,b:2")], "a"),
    ],
)
def test_sticky_key_without_prompt_is_the_object_of_the_request(fields, key):
    assert sticky_key(request(*fields)) == key


def test_share_of_key_is_deterministic():
    assert share_of_key("session") == share_of_key("session")
    assert 0 <= share_of_key("session") < 1


TURN = (("Program", "p"), ("Budget", "100"), ("X-Dewpin-Token-Usage", "5,40"))


def test_turn_is_sent_with_its_history_then_stored_and_settled():
    store = MemoryStore()
    store.turns["t-1"] = Turn("t-1", "p", None, b"first", b"answer\n", 60.0)
    peer = ScriptedReceiver(stream(event(1, "a"), event(2, "b")))
    with receivers(peer) as listed:
        path = Path(listed, store, kind="stream", retained=True)
        assert read(path(*TURN, ("Previous", "t-1"))) == (event(1, "a") + event(2, "b"), False)
    (got,) = peer.requests
    assert got.body == b"firstanswer\ninput"
    assert got.headers["content-length"] == str(len(got.body))
    assert got.headers["previous"] == "t-1"
    assert store.turns["r-1"] == Turn("r-1", "p", "t-1", b"input", b"a\nb\n", 60.0)
    assert store.settled == [("r-1", 20)]


@pytest.mark.parametrize(
    ("spent", "fails", "previous", "status"),
    [
        (70, [], None, 402),
        (0, ["reserve"], None, 503),
        (0, [], "t-9", 404),
        (0, ["chain"], "t-9", 503),
    ],
)
def test_turn_that_cannot_be_opened_is_not_sent(spent, fails, previous, status):
    store = MemoryStore(fails)
    store.spent["p"] = spent
    peer = ScriptedReceiver(stream(event(1)))
    with receivers(peer) as listed:
        fields = [*TURN, ("Previous", previous)] if previous else TURN
        answer = Path(listed, store, kind="stream", retained=True)(*fields)
    assert answer.status == status
    assert (header(answer, "retry-after") is not None) == (status == 503)
    assert peer.requests == []
    assert store.spent["p"] == spent


def test_turn_rejected_by_all_receivers_returns_its_budget():
    store = MemoryStore()
    with receivers(ScriptedReceiver(refusal())) as listed:
        assert Path(listed, store, kind="stream", retained=True, target_ms=50)(*TURN).status == 503
    assert store.settled == [("r-1", 0)]


def test_turn_that_cannot_be_stored_ends_incomplete():
    store = MemoryStore(["append"])
    with receivers(ScriptedReceiver(stream(event(1)))) as listed:
        assert read(Path(listed, store, kind="stream", retained=True)(*TURN)) == (event(1), True)
    assert store.settled == [("r-1", 10)]

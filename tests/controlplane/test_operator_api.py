"""Operator API calls over loopback to a scripted register."""

import asyncio
import concurrent.futures
import contextlib
import http.client
import json
import socket
import threading
from types import SimpleNamespace

import pytest
from cluster import samples

from dewpin.cluster.body_messages import patch_digest
from dewpin.controlplane import operator_api
from dewpin.controlplane.operator_api import LOOP_MARGIN_S, MIN_HISTORY_LOOKUP_S, RESPONSE_TIMEOUT_S, OperatorApi
from dewpin.controlplane.operator_http import serve_operator
from dewpin.controlplane.register.change_errors import ChangeForgottenError
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import (
    MAX_CHANGES_IN_STATE,
    configuration_digest,
    finish_retirement,
    initial_state,
    put_configuration,
    set_initial_stores,
)

MIN_STORES = 3


class Register:
    """Accepts every change immediately, unless `available` is False."""

    def __init__(self):
        ids = {one: f"{one}:1" for one in "abcd"}
        names = {one: f"store-{one}" for one in "abcd"}
        self.state = set_initial_stores(ids, names)(initial_state(ids, names))
        self.available = True
        self.history = None

    async def propose(self, change, timeout_s):
        if not self.available:
            raise RegisterUnavailableError("no majority in time")
        self.state = change(self.state)
        return self.state

    async def was_accepted(self, generation, digest, timeout_s):
        if self.history is None:
            await asyncio.sleep(timeout_s)
            return None
        return [generation, digest] in self.history


class Operator:
    def __init__(self, register, port):
        self.register = register
        self.port = port

    def call(self, method, path, body=None, **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        encoded_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        with contextlib.closing(connection):
            connection.request(method, path, body, encoded_headers)
            response = connection.getresponse()
            return response.status, response.read()

    def put(self, configuration, base):
        body = configuration if isinstance(configuration, bytes) else json.dumps(configuration).encode()
        return self.call("POST", "/dewpin/Config.Put", body, X_Dewpin_Base_Version=str(base))[0]

    def patch(self, patch, base):
        body = json.dumps(patch).encode()
        return self.call("POST", "/dewpin/Config.Patch", body, X_Dewpin_Base_Version=str(base))[0]

    def routes(self):
        return {route["name"] for route in json.loads(self.call("GET", "/dewpin/Config.Get")[1])["routes"]}

    def send_raw(self, data):
        with socket.create_connection(("127.0.0.1", self.port), timeout=5) as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            return connection.makefile("rb").read()


@pytest.fixture(scope="module")
def served():
    """The API and its port, served in separate threads for all tests of this module."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    api = OperatorApi(Register(), loop, MIN_STORES)
    server = serve_operator(("127.0.0.1", 0), api)
    yield api, server.socket.getsockname()[1]
    server.shutdown()
    server.server_close()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture
def operator(served):
    api, port = served
    api._register = Register()
    return Operator(api._register, port)


def sample(generation=7, **fields):
    return {**samples.configuration(), "generation": generation, **fields}


def test_put_configuration_is_read_back_byte_for_byte(operator):
    body = json.dumps(sample(), indent=1).encode()
    assert operator.call("GET", "/dewpin/Config.Get")[0] == 404
    assert operator.put(body, 0) == 200
    assert operator.call("GET", "/dewpin/Config.Get") == (200, body)


def test_repeated_change_is_acknowledged_after_later_changes(operator):
    assert [operator.put(sample(7), 0), operator.put(sample(7), 0)] == [200, 200]
    assert operator.put(sample(9), 7) == 200
    assert operator.put(sample(7), 0) == 200
    assert json.loads(operator.call("GET", "/dewpin/Config.Get")[1])["generation"] == 9


def test_change_on_other_base_version_is_rejected(operator):
    operator.put(sample(7), 0)
    assert operator.put(sample(8), 0) == 412
    assert operator.put(sample(8), 5) == 412


def added_route(generation, name="r-added"):
    route = {**samples.configuration()["routes"][0], "name": name, "path_prefix": f"/{name}/"}
    return {"generation": generation, "upsert": {"routes": [route]}}


def test_patch_is_read_back_as_complete_configuration(operator):
    operator.put(sample(7), 0)
    before = operator.routes()
    assert operator.patch(added_route(9), 7) == 200
    assert operator.routes() == before | {"r-added"}
    assert operator.patch({"generation": 12, "delete": {"routes": ["r-added"]}}, 9) == 200
    assert json.loads(operator.call("GET", "/dewpin/Config.Get")[1]) == sample(12)


def test_repeated_patch_is_acknowledged_again(operator):
    operator.put(sample(7), 0)
    assert [operator.patch(added_route(9), 7), operator.patch(added_route(9), 7)] == [200, 200]
    assert operator.patch({"generation": 12, "delete": {"routes": ["r-added"]}}, 9) == 200
    assert operator.patch(added_route(9), 7) == 200
    assert "r-added" not in operator.routes()


def test_one_of_two_patches_of_a_version_wins(operator):
    operator.put(sample(7), 0)
    assert operator.patch(added_route(9, "r-one"), 7) == 200
    assert operator.patch(added_route(9, "r-two"), 7) == 412
    assert operator.patch(added_route(10, "r-two"), 7) == 412
    assert operator.put(sample(10), 7) == 412
    assert "r-one" in operator.routes()


def test_patch_without_configuration_or_with_invalid_result_is_rejected(operator):
    assert operator.patch(added_route(9), 0) == 400
    operator.put(sample(7), 0)
    services = [service["name"] for service in sample()["services"]]
    assert operator.patch({"generation": 9, "delete": {"services": services}}, 7) == 400
    assert operator.patch({"generation": 7}, 7) == 400
    assert operator.patch({"generation": 9, "upsert": 3}, 7) == 400
    assert operator.patch({"generation": 9}, "seven") == 400
    assert json.loads(operator.call("GET", "/dewpin/Config.Get")[1]) == sample(7)


def test_put_and_patch_of_same_body_are_two_changes(operator):
    operator.put(sample(7), 0)
    assert operator.put(sample(9), 7) == 200
    assert operator.patch(sample(9), 7) == 412


def test_forgotten_patch_is_looked_up_by_patch_digest(operator):
    exceed_changes_in_state(operator)
    body = json.dumps(added_route(8)).encode()
    operator.register.history = [[8, patch_digest(body, 7)]]
    assert operator.patch(added_route(8), 7) == 200
    assert operator.patch(added_route(8, "r-other"), 7) == 412


def chunked(body, size):
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    head = b"POST /dewpin/Config.Put HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    return head + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def test_chunking_does_not_alter_change_identity(operator):
    body = json.dumps(sample()).encode()
    assert operator.put(body, 0) == 200
    assert operator.put(sample(9), 7) == 200
    for size in (1, 7, 100, len(body)):
        assert operator.send_raw(chunked(body, size)).startswith(b"HTTP/1.1 200"), size
    assert operator.send_raw(chunked(body + b" ", 100)).startswith(b"HTTP/1.1 412")
    assert json.loads(operator.call("GET", "/dewpin/Config.Get")[1])["generation"] == 9


def exceed_changes_in_state(operator):
    state = operator.register.state
    for generation in range(7, 7 + MAX_CHANGES_IN_STATE + 5):
        base = generation - 1 if generation > 7 else 0
        state = put_configuration(json.dumps(sample(generation)).encode(), generation, base)(state)
    operator.register.state = state


@pytest.mark.parametrize("was_accepted", [True, False])
def test_forgotten_change_is_answered_from_history(operator, was_accepted):
    exceed_changes_in_state(operator)
    body = json.dumps(sample(8)).encode()
    operator.register.history = (
        [[8, configuration_digest(body, 7)]] if was_accepted else [[8, configuration_digest(b"other", 7)]]
    )
    assert operator.put(body, 7) == (200 if was_accepted else 412)


def test_forgotten_change_unknown_to_history_gets_503(operator):
    exceed_changes_in_state(operator)
    assert operator.put(sample(8), 7) == 503


class LateFuture:
    """The future of work that takes `took_s` on a fake clock, independent of the timeout of its caller."""

    def __init__(self, clock, took_s, error=None):
        self.clock, self.took_s, self.error = clock, took_s, error

    def result(self, timeout):
        self.clock.now_s += min(self.took_s, timeout)
        if self.took_s > timeout:
            raise concurrent.futures.TimeoutError
        if self.error is not None:
            raise self.error


@pytest.mark.parametrize("proposal_s", [0.0, 0.4, 0.84, 0.94, 60.0])
@pytest.mark.parametrize("lookup_s", [0.0, 0.3, 60.0])
def test_forgotten_change_gets_503_in_time_however_late_register_and_history_are(monkeypatch, proposal_s, lookup_s):
    clock = SimpleNamespace(now_s=100.0, monotonic=lambda: clock.now_s)
    futures = [LateFuture(clock, proposal_s, ChangeForgottenError("old")), LateFuture(clock, lookup_s)]
    lookups = []

    class ScriptedRegister:
        def propose(self, change, timeout_s):
            assert timeout_s <= RESPONSE_TIMEOUT_S

        def was_accepted(self, generation, digest, timeout_s):
            lookups.append(timeout_s)

    monkeypatch.setattr(operator_api, "time", clock)
    scripted_asyncio = SimpleNamespace(run_coroutine_threadsafe=lambda work, loop: futures.pop(0))
    monkeypatch.setattr(operator_api, "asyncio", scripted_asyncio)
    response = OperatorApi(ScriptedRegister(), None, MIN_STORES).put(json.dumps(sample(8)).encode(), "7")
    assert response.status == 503
    took_s = clock.now_s - 100.0
    assert took_s <= RESPONSE_TIMEOUT_S + 2 * LOOP_MARGIN_S + MIN_HISTORY_LOOKUP_S
    for timeout_s in lookups:
        assert timeout_s == pytest.approx(max(RESPONSE_TIMEOUT_S - proposal_s, MIN_HISTORY_LOOKUP_S))


def test_missing_base_version_means_first_version(operator):
    body = json.dumps(sample()).encode()
    assert operator.call("POST", "/dewpin/Config.Put", body)[0] == 200
    assert operator.call("POST", "/dewpin/Config.Put", json.dumps(sample(8)).encode())[0] == 412


@pytest.mark.parametrize(
    "configuration",
    [
        b"",
        b"\xff\xfe\x00",
        json.dumps(sample(9)).encode()[:-2],
        b"[]",
        sample(7),
        sample(6),
        sample(9, services=[]),
        sample(9, routes=[*samples.configuration()["routes"], samples.configuration()["routes"][0]]),
    ],
    ids=["empty", "bytes", "cut_short", "no_object", "same_version", "old_version", "unknown_service", "same_place"],
)
def test_invalid_configuration_is_rejected_and_old_one_stays(operator, configuration):
    operator.put(sample(7), 0)
    assert operator.put(configuration, 7) == 400
    assert json.loads(operator.call("GET", "/dewpin/Config.Get")[1])["generation"] == 7


def test_configuration_that_is_not_utf8_is_rejected(operator):
    assert operator.put(json.dumps(sample()).encode("utf-16"), 0) == 400


@pytest.mark.parametrize("base", ["x", "1.5", ""])
def test_base_version_that_is_no_number_is_rejected(operator, base):
    expected = 200 if base == "" else 400
    assert operator.put(sample(), base) == expected


def test_requests_without_majority_get_503(operator):
    operator.register.available = False
    assert operator.put(sample(), 0) == 503
    assert operator.call("GET", "/dewpin/Config.Get")[0] == 503
    assert operator.call("POST", "/dewpin/Retire.Start/store-a", b'{"within_s":10}')[0] == 503
    assert operator.call("GET", "/dewpin/Retire.Get/store-a")[0] == 503


def test_retirement_runs_until_done(operator):
    assert operator.call("GET", "/dewpin/Retire.Get/store-a")[0] == 404
    assert operator.call("POST", "/dewpin/Retire.Start/store-a", b'{"within_s":10}')[0] == 200
    assert operator.call("POST", "/dewpin/Retire.Start/store-a", b'{"within_s":10}')[0] == 200
    assert operator.call("GET", "/dewpin/Retire.Get/store-a") == (200, b'{"state":"running"}')
    operator.register.state = finish_retirement("store-a")(operator.register.state)
    assert operator.call("GET", "/dewpin/Retire.Get/store-a") == (200, b'{"state":"done"}')
    assert operator.call("POST", "/dewpin/Retire.Start/store-a", b'{"within_s":10}')[0] == 200


def test_retirement_of_unknown_or_needed_machine_is_rejected(operator):
    assert operator.call("POST", "/dewpin/Retire.Start/store-x", b"{}")[0] == 404
    assert operator.call("POST", "/dewpin/Retire.Start/store-a", b"{}")[0] == 200
    assert operator.call("POST", "/dewpin/Retire.Start/store-b", b"{}")[0] == 409


def test_chunked_body_is_accepted(operator):
    body = json.dumps(sample()).encode()
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:100], body[100:]))
    head = b"POST /dewpin/Config.Put HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    assert operator.send_raw(head + chunks + b"0\r\n\r\n").startswith(b"HTTP/1.1 200")
    assert operator.call("GET", "/dewpin/Config.Get") == (200, body)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"POST /dewpin/Config.Put HTTP/1.1\r\nContent-Length: 10\r\n\r\n{}", 400),
        (b"POST /dewpin/Config.Put HTTP/1.1\r\nContent-Length: x\r\n\r\n{}", 400),
        (b"POST /dewpin/Config.Put HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", 413),
        (b"POST /dewpin/Config.Put HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST /dewpin/Config.Put HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nabc", 400),
        (b"POST /dewpin/Config.Put HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nabc", 400),
        (b"GET /elsewhere HTTP/1.1\r\nConnection: close\r\n\r\n", 404),
        (b"GET /dewpin/Config.Put HTTP/1.1\r\nConnection: close\r\n\r\n", 404),
    ],
)
def test_malformed_request_is_rejected(operator, request_bytes, status):
    assert operator.send_raw(request_bytes).startswith(b"HTTP/1.1 %d" % status)


def test_connection_serves_several_requests(operator):
    connection = http.client.HTTPConnection("127.0.0.1", operator.port, timeout=5)
    with contextlib.closing(connection):
        for _ in range(3):
            connection.request("GET", "/dewpin/Config.Get")
            response = connection.getresponse()
            response.read()
            assert response.status == 404


def test_proposal_that_never_ends_gets_503_in_time(operator, monkeypatch):
    monkeypatch.setattr(operator_api, "RESPONSE_TIMEOUT_S", 0.01)

    async def never(change, timeout_s):
        await asyncio.wait_for(asyncio.Event().wait(), 1.0)

    operator.register.propose = never
    assert operator.put(sample(), 0) == 503

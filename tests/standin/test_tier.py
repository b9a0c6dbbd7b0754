"""End-to-end tests of the tier with real processes, sockets and disks. All waits poll a condition with a time-out."""

import http.client
import itertools
import json
import signal

from dewpin.cluster.rpc import split_address
from dewpin.standin.client import ClientRequest, ProgramClient, StreamingResponse, send
from dewpin.standin.platform_server import is_ready
from dewpin.standin.polling import wait_until
from dewpin.standin.protocol import HOLD_AFTER, RELEASE_PATH, REQUESTS_PATH
from dewpin.standin.sample_configuration import (
    HOST,
    PLAIN_PATH,
    PLAIN_SERVICE,
    STREAM_PATH,
    STREAM_SERVICE,
    TOKENS_PER_EVENT,
    sample_configuration,
)

WAIT_TIMEOUT_S = 15.0
MAX_TOKENS_PER_TURN = 40
EVENTS_PER_TURN = MAX_TOKENS_PER_TURN // TOKENS_PER_EVENT
_path_numbers = itertools.count(1)


def call_receiver(address, method, path):
    connection = http.client.HTTPConnection(*split_address(address), timeout=5.0)
    try:
        connection.request(method, path)
        return connection.getresponse().read()
    finally:
        connection.close()


def executions_of(tier, service, request_id):
    """Return all executions of a request: address of the receiver, and the request as executed."""
    return [
        (receiver["address"], executed)
        for receiver in tier.receivers_of(service)
        for executed in json.loads(call_receiver(receiver["address"], "GET", REQUESTS_PATH))
        if executed["id"] == request_id
    ]


def change_configuration(tier, control_servers=()):
    """Put a configuration with a new path for the plain route; return that path."""
    base = tier.operator.get()["generation"]
    path = f"/changed-{next(_path_numbers)}/"
    response = tier.operator.put(sample_configuration(base + 1, path), base, WAIT_TIMEOUT_S, control_servers)
    assert response.status == 200, response.body
    return path


def wait_until_served(tier, path):
    """Wait until each sender serves a path, with a time-out per sender."""
    for sender in tier.senders:
        wait_until(
            lambda: send(sender.client_address, ClientRequest(HOST, f"{path}item")).is_served,
            WAIT_TIMEOUT_S,
            f"{sender.name} serves {path}",
        )


def run_turn_until_served(program, sender, text):
    """Run a turn, with retries while the tier responds with 503."""

    def attempt_turn():
        response = program.run_turn(sender.client_address, text)
        assert response.is_served or response.status == 503, (response.status, response.body)
        return response if response.is_served else None

    return wait_until(attempt_turn, WAIT_TIMEOUT_S, f"turn {text!r} is served")


def turn_as_history(text, response):
    return text.decode() + "".join(f"{data}\n" for data in response.event_data)


def check_turn(tier, response, expected_body):
    """Check that a turn was executed once, with the conversation history in its body."""
    executions = executions_of(tier, STREAM_SERVICE, response.request_id)
    assert [executed["body"] for _, executed in executions] == [expected_body]
    assert len(response.event_data) == EVENTS_PER_TURN


def test_request_and_program_of_three_turns_are_served(tier):
    path = change_configuration(tier)
    wait_until_served(tier, path)
    response = send(tier.senders[0].client_address, ClientRequest(HOST, f"{path}item/7?a=b", b"where?"))
    assert response.is_served and b"6 bytes" in response.body
    [(_, executed)] = executions_of(tier, PLAIN_SERVICE, response.request_id)
    assert (executed["method"], executed["path"], executed["body"]) == ("POST", f"{path}item/7?a=b", "where?")

    program = ProgramClient(HOST, STREAM_PATH, budget=3 * MAX_TOKENS_PER_TURN, max_tokens=MAX_TOKENS_PER_TURN)
    history = ""
    for number, text in enumerate((b"one\n", b"two\n", b"three\n")):
        turn = run_turn_until_served(program, tier.senders[number % 2], text)
        check_turn(tier, turn, history + text.decode())
        history += turn_as_history(text, turn)
    rejected = program.run_turn(tier.senders[0].client_address, b"four\n")
    assert rejected.status == 402
    assert executions_of(tier, STREAM_SERVICE, rejected.request_id) == []


def test_configuration_put_at_any_control_server_is_applied_by_both_senders(tier):
    for control_server in tier.control_servers[1:]:
        path = change_configuration(tier, [control_server.operator_address])
        wait_until_served(tier, path)
        assert [route["path_prefix"] for route in tier.operator.get()["routes"]] == [path, STREAM_PATH]
    for sender in tier.senders:
        assert send(sender.client_address, ClientRequest(HOST, f"{PLAIN_PATH}item")).status == 404


def test_configuration_is_accepted_while_one_control_server_is_killed(tier):
    tier.control_servers[0].process.kill()
    wait_until_served(tier, change_configuration(tier))


def test_acknowledged_state_survives_a_kill_of_all_control_servers(tier):
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MAX_TOKENS_PER_TURN, max_tokens=MAX_TOKENS_PER_TURN)
    first = run_turn_until_served(program, tier.senders[0], b"before\n")
    change_configuration(tier)
    acknowledged = tier.operator.get()

    for control_server in tier.control_servers:
        control_server.process.send_signal(signal.SIGKILL)
    for control_server in tier.control_servers:
        control_server.process.kill()
    tier.restart(tier.control_servers)

    assert tier.operator.get(WAIT_TIMEOUT_S) == acknowledged
    second = run_turn_until_served(program, tier.senders[1], b"after\n")
    check_turn(tier, second, turn_as_history(b"before\n", first) + "after\n")


def test_control_server_recovers_from_data_loss_and_another_may_then_be_killed(tier):
    lost, other = tier.control_servers[:2]
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MAX_TOKENS_PER_TURN, max_tokens=MAX_TOKENS_PER_TURN)
    first = run_turn_until_served(program, tier.senders[0], b"before\n")
    incarnation = tier.wait_until_settled().members[lost.name]

    lost.process.kill()
    tier.wipe(lost)
    tier.restart([lost])
    tier.wait_until_replaced(lost, incarnation)
    other.process.kill()

    wait_until_served(tier, change_configuration(tier))
    second = run_turn_until_served(program, tier.senders[1], b"after\n")
    check_turn(tier, second, turn_as_history(b"before\n", first) + "after\n")


def test_sender_finishes_its_streams_after_sigterm(tier):
    sender = tier.senders[0]
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MAX_TOKENS_PER_TURN, max_tokens=MAX_TOKENS_PER_TURN)
    with StreamingResponse(sender.client_address, program.next_request(b"hold\n", {HOLD_AFTER: "2"})) as response:
        assert response.status == 200
        assert [response.read_event()[0] for _ in range(2)] == [1, 2]
        sender.process.send_signal(signal.SIGTERM)
        wait_until(lambda: not is_ready(sender.readiness_address), WAIT_TIMEOUT_S, "the sender is not ready any more")
        [(receiver, _)] = executions_of(tier, STREAM_SERVICE, response.request_id)
        call_receiver(receiver, "POST", RELEASE_PATH)
        assert [response.read_event()[0] for _ in range(EVENTS_PER_TURN - 2)] == list(range(3, EVENTS_PER_TURN + 1))
        assert response.read_event() is None
    assert sender.process.wait(WAIT_TIMEOUT_S) == 0
    program.last_turn_id = response.request_id
    assert run_turn_until_served(program, tier.senders[1], b"on\n").is_served

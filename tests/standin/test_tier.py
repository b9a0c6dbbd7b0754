"""The tier end to end: real processes, real sockets, real disks. Every wait is for a fact and has a bound."""

import http.client
import itertools
import json
import signal

from dewpin.cluster.rpc import split_address
from dewpin.standin.client import ClientRequest, OpenAnswer, ProgramClient, send
from dewpin.standin.platform import is_ready
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
from dewpin.standin.waiting import wait_until

FACT_TIMEOUT_S = 15.0
MOST_TOKENS = 40
EVENTS = MOST_TOKENS // TOKENS_PER_EVENT
_numbers = itertools.count(1)


def call(address, method, path):
    connection = http.client.HTTPConnection(*split_address(address), timeout=5.0)
    try:
        connection.request(method, path)
        return connection.getresponse().read()
    finally:
        connection.close()


def runs_of(tier, service, request_id):
    """Return each run of a request: the receiver's address and what it was given."""
    return [
        (receiver["address"], seen)
        for receiver in tier.receivers_of(service)
        for seen in json.loads(call(receiver["address"], "GET", REQUESTS_PATH))
        if seen["id"] == request_id
    ]


def change_configuration(tier, control_servers=()):
    """Put a configuration whose plain route has a path of its own; return that path."""
    base = tier.operator.get()["generation"]
    path = f"/changed-{next(_numbers)}/"
    answer = tier.operator.put(sample_configuration(base + 1, path), base, FACT_TIMEOUT_S, control_servers)
    assert answer.status == 200, answer.body
    return path


def wait_until_served(tier, path):
    """Wait until every sender serves a path, and wait no longer for one sender than for the other."""
    for sender in tier.senders:
        wait_until(
            lambda: send(sender.front, ClientRequest(HOST, f"{path}item")).is_served,
            FACT_TIMEOUT_S,
            f"{sender.name} serves {path}",
        )


def take_turn(program, sender, said):
    """Take a turn, again while the tier says that it can't be run now."""

    def attempt():
        answer = program.turn(sender.front, said)
        assert answer.is_served or answer.status == 503, (answer.status, answer.body)
        return answer if answer.is_served else None

    return wait_until(attempt, FACT_TIMEOUT_S, f"turn {said!r} is served")


def said_and_heard(said, answer):
    return said.decode() + "".join(f"{data}\n" for data in answer.event_data)


def check_chain(tier, answer, expected_body):
    """Check that a turn ran once and that its receiver was given the chain before it."""
    runs = runs_of(tier, STREAM_SERVICE, answer.request_id)
    assert [seen["body"] for _, seen in runs] == [expected_body]
    assert len(answer.event_data) == EVENTS


def test_a_request_and_a_program_of_three_turns(tier):
    path = change_configuration(tier)
    wait_until_served(tier, path)
    answer = send(tier.senders[0].front, ClientRequest(HOST, f"{path}item/7?a=b", b"where?"))
    assert answer.is_served and b"6 bytes" in answer.body
    [(_, seen)] = runs_of(tier, PLAIN_SERVICE, answer.request_id)
    assert (seen["method"], seen["path"], seen["body"]) == ("POST", f"{path}item/7?a=b", "where?")

    program = ProgramClient(HOST, STREAM_PATH, budget=3 * MOST_TOKENS, most_tokens=MOST_TOKENS)
    before = ""
    for number, said in enumerate((b"one\n", b"two\n", b"three\n")):
        turn = take_turn(program, tier.senders[number % 2], said)
        check_chain(tier, turn, before + said.decode())
        before += said_and_heard(said, turn)
    refused = program.turn(tier.senders[0].front, b"four\n")
    assert refused.status == 402
    assert runs_of(tier, STREAM_SERVICE, refused.request_id) == []


def test_a_configuration_put_at_another_control_server_is_in_force_at_both_senders(tier):
    for control_server in tier.control_servers[1:]:
        path = change_configuration(tier, [control_server.control])
        wait_until_served(tier, path)
        assert [route["path_prefix"] for route in tier.operator.get()["routes"]] == [path, STREAM_PATH]
    for sender in tier.senders:
        assert send(sender.front, ClientRequest(HOST, f"{PLAIN_PATH}item")).status == 404


def test_a_configuration_is_taken_while_one_control_server_is_dead(tier):
    tier.control_servers[0].process.kill()
    wait_until_served(tier, change_configuration(tier))


def test_all_control_servers_are_killed_and_nothing_acknowledged_is_lost(tier):
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MOST_TOKENS, most_tokens=MOST_TOKENS)
    first = take_turn(program, tier.senders[0], b"before\n")
    change_configuration(tier)
    acknowledged = tier.operator.get()

    for control_server in tier.control_servers:
        control_server.process.send(signal.SIGKILL)
    for control_server in tier.control_servers:
        control_server.process.kill()
    tier.restart(tier.control_servers)

    assert tier.operator.get(FACT_TIMEOUT_S) == acknowledged
    second = take_turn(program, tier.senders[1], b"after\n")
    check_chain(tier, second, said_and_heard(b"before\n", first) + "after\n")


def test_a_control_server_whose_data_is_lost_comes_back_and_then_another_may_be_killed(tier):
    lost, other = tier.control_servers[:2]
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MOST_TOKENS, most_tokens=MOST_TOKENS)
    first = take_turn(program, tier.senders[0], b"before\n")
    incarnation = tier.wait_until_settled().members[lost.name]

    lost.process.kill()
    tier.wipe(lost)
    tier.restart([lost])
    tier.wait_until_replaced(lost, incarnation)
    other.process.kill()

    wait_until_served(tier, change_configuration(tier))
    second = take_turn(program, tier.senders[1], b"after\n")
    check_chain(tier, second, said_and_heard(b"before\n", first) + "after\n")


def test_a_sender_that_is_told_to_end_finishes_its_streams(tier):
    sender = tier.senders[0]
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MOST_TOKENS, most_tokens=MOST_TOKENS)
    with OpenAnswer(sender.front, program.request(b"hold\n", {HOLD_AFTER: "2"})) as answer:
        assert answer.status == 200
        assert [answer.read_event()[0] for _ in range(2)] == [1, 2]
        sender.process.send(signal.SIGTERM)
        wait_until(lambda: not is_ready(sender.ready), FACT_TIMEOUT_S, "the sender is not ready any more")
        [(receiver, _)] = runs_of(tier, STREAM_SERVICE, answer.request_id)
        call(receiver, "POST", RELEASE_PATH)
        assert [answer.read_event()[0] for _ in range(EVENTS - 2)] == list(range(3, EVENTS + 1))
        assert answer.read_event() is None
    assert sender.process.wait(FACT_TIMEOUT_S) == 0
    program.last_turn = answer.request_id
    assert take_turn(program, tier.senders[1], b"on\n").is_served

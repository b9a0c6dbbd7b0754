"""A disk is lost while all other machines, also those that do not count, lose power at the same moment."""

import pytest

from dewpin.standin.client import ClientRequest, ProgramClient, send
from dewpin.standin.polling import wait_until
from dewpin.standin.sample_configuration import HOST, STREAM_PATH, sample_configuration

WAIT_TIMEOUT_S = 30.0
MAX_TOKENS = 40
CONTROL_SERVERS = range(3)


def run_turn_until_served(tier, program, text):
    """Run a turn at every sender in turn, with retries while the tier responds with 503 or not at all."""

    def attempt_turn():
        for sender in tier.senders:
            try:
                response = program.run_turn(sender.client_address, text)
            except OSError:
                continue
            assert response.is_served or response.status == 503, (response.status, response.body)
            if response.is_served:
                return response
        return None

    return wait_until(attempt_turn, WAIT_TIMEOUT_S, f"turn {text!r} is served")


@pytest.mark.parametrize("lost", CONTROL_SERVERS)
def test_acknowledged_data_outlasts_a_lost_disk_and_the_power_of_all_others(tier, lost):
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MAX_TOKENS, max_tokens=MAX_TOKENS)
    run_turn_until_served(tier, program, b"before\n")
    generation = tier.operator.get()["generation"]
    path = f"/lost-{lost}/"
    change = sample_configuration(generation + 1, path)
    assert tier.operator.put(change, generation, WAIT_TIMEOUT_S).status == 200

    machines = [*tier.control_servers, *tier.senders]
    for machine in machines:
        machine.process.kill()
    tier.wipe(tier.control_servers[lost])
    tier.restart(tier.control_servers)
    for sender in tier.senders:
        sender.process.start()

    tier.wait_until_settled()
    tier.wait_until_ready()
    assert tier.operator.get(WAIT_TIMEOUT_S)["generation"] == generation + 1
    for sender in tier.senders:
        response = send(sender.client_address, ClientRequest(HOST, f"{path}x"))
        assert response.is_served, (sender.name, response.status)
    run_turn_until_served(tier, program, b"after\n")
    follow_up = sample_configuration(generation + 2)
    assert tier.operator.put(follow_up, generation + 1, WAIT_TIMEOUT_S).status == 200

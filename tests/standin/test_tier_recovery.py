"""Data loss on a majority of the control servers: no change is accepted until the operator recovers the register."""

import subprocess
import sys

import pytest

from dewpin.standin.client import ClientRequest, ProgramClient, send
from dewpin.standin.errors import ConditionNotMetError
from dewpin.standin.polling import wait_until
from dewpin.standin.sample_configuration import HOST, STREAM_PATH, sample_configuration

WAIT_TIMEOUT_S = 20.0
WITHOUT_MAJORITY_S = 2.0
MAX_TOKENS = 40


def run_register_command(*arguments):
    command = [sys.executable, "-m", "dewpin.tier_cli", "register", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def run_turn_until_served(tier, program, text):
    """Run a turn, with retries while the tier responds with 503."""

    def attempt_turn():
        response = program.run_turn(tier.senders[0].client_address, text)
        assert response.is_served or response.status == 503, (response.status, response.body)
        return response if response.is_served else None

    return wait_until(attempt_turn, WAIT_TIMEOUT_S, f"turn {text!r} is served")


def serves_new_route(sender):
    return send(sender.client_address, ClientRequest(HOST, "/recovered/x")).is_served


def test_register_that_lost_its_majority_is_available_after_recovery_by_the_operator(tier):
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MAX_TOKENS, max_tokens=MAX_TOKENS)
    run_turn_until_served(tier, program, b"one\n")
    before = tier.operator.get()
    view = tier.wait_until_settled()
    survivor, *lost = tier.control_servers
    for control_server in lost:
        control_server.process.kill()
        tier.wipe(control_server)
    tier.restart(lost)
    change = sample_configuration(before["generation"] + 1, "/recovered/")
    with pytest.raises(ConditionNotMetError, match="503"):
        tier.operator.put(change, before["generation"], WITHOUT_MAJORITY_S)
    wait_until(lambda: "register.majority_lost" in survivor.process.log_tail(50), WAIT_TIMEOUT_S, "the loss is logged")
    assert "without_disk" in survivor.process.log_tail(50)

    survivor.process.kill()
    lost_options = [option for machine in lost for option in ("--lost", view.members[machine.name])]
    plan = run_register_command("recover", survivor.data_dir, *lost_options)
    assert plan.returncode == 0 and "nothing is written without --apply" in plan.stdout, plan
    recovered = run_register_command("recover", survivor.data_dir, *lost_options, "--apply")
    assert recovered.returncode == 0, recovered
    tier.restart([survivor])

    tier.wait_until_settled()
    assert tier.operator.get() == before
    assert tier.operator.put(change, before["generation"], WAIT_TIMEOUT_S).status == 200
    for sender in tier.senders:
        wait_until(lambda: serves_new_route(sender), WAIT_TIMEOUT_S, f"{sender.name} serves the new route")
    run_turn_until_served(tier, program, b"two\n")
    assert "register.recovered" in survivor.process.log_tail(50)

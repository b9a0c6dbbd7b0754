"""The loss of a majority's disks on the local tier: nothing is confirmed until the operator recovers the register."""

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


def tier_command(*arguments):
    command = [sys.executable, "-m", "dewpin.tier_cli", "register", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def serve_turn(tier, program, text):
    """Run a turn; again while the tier answers with 503."""

    def attempt():
        response = program.run_turn(tier.senders[0].client_address, text)
        assert response.is_served or response.status == 503, (response.status, response.body)
        return response if response.is_served else None

    return wait_until(attempt, WAIT_TIMEOUT_S, f"turn {text!r} is served")


def serves_new_route(sender):
    return send(sender.client_address, ClientRequest(HOST, "/recovered/x")).is_served


def test_register_without_a_majority_serves_again_after_the_operators_recovery(tier):
    program = ProgramClient(HOST, STREAM_PATH, budget=10 * MAX_TOKENS, max_tokens=MAX_TOKENS)
    serve_turn(tier, program, b"one\n")
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
    ids = [option for machine in lost for option in ("--lost", view.members[machine.name])]
    planned = tier_command("recover", survivor.data_dir, *ids)
    assert planned.returncode == 0 and "nothing is written without --apply" in planned.stdout, planned
    recovered = tier_command("recover", survivor.data_dir, *ids, "--apply")
    assert recovered.returncode == 0, recovered
    tier.restart([survivor])

    tier.wait_until_settled()
    assert tier.operator.get() == before
    assert tier.operator.put(change, before["generation"], WAIT_TIMEOUT_S).status == 200
    for sender in tier.senders:
        wait_until(lambda: serves_new_route(sender), WAIT_TIMEOUT_S, f"{sender.name} serves the new route")
    serve_turn(tier, program, b"two\n")
    assert "register.recovered" in survivor.process.log_tail(50)

"""Addresses, settings files and processes of the local tier."""

import signal
import threading
import tomllib

import pytest

from dewpin.cluster.settings import load_settings
from dewpin.standin.addresses import LoopbackNetwork
from dewpin.standin.errors import ConditionNotMetError
from dewpin.standin.polling import wait_until
from dewpin.standin.processes import ManagedProcess, terminate_all
from dewpin.standin.sample_configuration import sample_configuration
from dewpin.standin.settings_file import render_settings
from dewpin.standin.tier import LocalTier, is_listening


def test_networks_of_two_tiers_have_no_common_address():
    first, second = LoopbackNetwork(), LoopbackNetwork()
    try:
        assert len({first.take_address(), first.take_address(), second.take_address(), second.take_address()}) == 4
    finally:
        first.close()
        second.close()


def test_rendered_settings_are_parsed_to_the_same_values():
    fields = {"name": 'a "quoted" one', "ports": [1, 2], "on": True, "seeds": ["a:1"], "share": 0.5}
    assert tomllib.loads(render_settings(fields, {"bounds": {"x": 1}})) == {**fields, "bounds": {"x": 1}}


def test_written_settings_are_accepted_by_the_tier(tmp_path):
    tier = LocalTier(tmp_path)
    try:
        control_server, sender = tier.control_servers[0], tier.senders[0]
        settings = load_settings(control_server.settings_path)
        assert settings.bootstrap and settings.data_dir == control_server.data_dir
        assert settings.seeds == tuple(server.operator_address for server in tier.control_servers)
        tier.write_settings(control_server, bootstrap=False)
        assert not load_settings(control_server.settings_path).bootstrap
        assert load_settings(sender.settings_path).listen == {
            "front": sender.client_address,
            "ready": sender.readiness_address,
        }
    finally:
        tier.stop()


def test_terminated_process_has_ended_and_its_log_is_readable(tmp_path):
    process = ManagedProcess("wrong", "dewpin.standin", ["nothing"], tmp_path / "log", {})
    process.start()
    assert process.wait(20.0) == 2
    assert "invalid choice" in process.log_tail()
    receiver = ManagedProcess(
        "receiver", "dewpin.standin", ["receiver", "--listen", "127.0.0.1:0", "--id", "i"], tmp_path / "log", {}
    )
    receiver.start()
    terminate_all([process, receiver])
    assert not receiver.is_running
    receiver.send_signal(signal.SIGTERM)


def test_wait_until_raises_after_the_time_out():
    assert wait_until(lambda: "a fact", 0.0, "it") == "a fact"
    with pytest.raises(ConditionNotMetError, match="it: not met within 0 s"):
        wait_until(lambda: None, 0.0, "it")


def test_tier_is_not_ready_before_all_receivers_listen(tmp_path):
    tier = LocalTier(tmp_path)
    late = next(process for process in tier.processes if process.name == tier.receivers[0]["id"])
    start, begun = late.start, []

    def start_late():
        begun.append(threading.Timer(3.0, start))
        begun[0].start()

    late.start = start_late
    with tier:
        assert tier.operator.put(sample_configuration(1), base=0).status == 200
        tier.wait_until_ready()
        assert is_listening(tier.receivers[0]["address"])
        begun[0].join()

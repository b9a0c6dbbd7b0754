"""Addresses, settings files and processes of the local tier."""

import signal
import tomllib

import pytest

from dewpin.cluster.settings import load_settings
from dewpin.standin.addresses import LoopbackNetwork
from dewpin.standin.processes import ManagedProcess, end_all
from dewpin.standin.settings_file import render_settings
from dewpin.standin.tier import LocalTier
from dewpin.standin.waiting import WaitFailed, wait_until


def test_a_network_is_kept_from_others():
    first, second = LoopbackNetwork(), LoopbackNetwork()
    try:
        assert len({first.take_address(), first.take_address(), second.take_address(), second.take_address()}) == 4
    finally:
        first.close()
        second.close()


def test_settings_read_back_as_written():
    fields = {"name": 'a "quoted" one', "ports": [1, 2], "on": True, "seeds": ["a:1"], "share": 0.5}
    assert tomllib.loads(render_settings(fields, {"bounds": {"x": 1}})) == {**fields, "bounds": {"x": 1}}


def test_the_tier_takes_the_settings_that_are_written_for_it(tmp_path):
    tier = LocalTier(tmp_path)
    try:
        control_server, sender = tier.control_servers[0], tier.senders[0]
        settings = load_settings(control_server.settings_path)
        assert settings.bootstrap and settings.data_dir == control_server.data_dir
        assert settings.seeds == tuple(one.control for one in tier.control_servers)
        tier.write_settings(control_server, first_start=False)
        assert not load_settings(control_server.settings_path).bootstrap
        assert load_settings(sender.settings_path).listen == {"front": sender.front, "ready": sender.ready}
    finally:
        tier.stop()


def test_processes_are_ended_and_their_logs_read(tmp_path):
    process = ManagedProcess("wrong", "dewpin.standin", ["nothing"], tmp_path / "log", {})
    process.start()
    assert process.wait(20.0) == 2
    assert "invalid choice" in process.last_lines()
    served = ManagedProcess(
        "receiver", "dewpin.standin", ["receiver", "--listen", "127.0.0.1:0", "--id", "i"], tmp_path / "log", {}
    )
    served.start()
    end_all([process, served])
    assert not served.is_running
    served.send(signal.SIGTERM)


def test_waiting_has_a_bound():
    assert wait_until(lambda: "a fact", 0.0, "it") == "a fact"
    with pytest.raises(WaitFailed, match="it: not within 0 s"):
        wait_until(lambda: None, 0.0, "it")

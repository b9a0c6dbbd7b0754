"""Life-cycle events of a sender: each is logged as one JSON line by the tier's log handler."""

import asyncio
import threading
from types import SimpleNamespace

import pytest
from tier_log import captured_log

from dewpin.dataplane.agent_thread import AgentThread
from dewpin.dataplane.cluster_state_updater import ClusterStateUpdater
from dewpin.dataplane.membership.cluster_state import ClusterState


@pytest.fixture
def log_lines():
    with captured_log("front-1", "sender") as read:
        yield read


def test_faulty_configuration_is_logged_as_one_line_with_all_its_faults(log_lines):
    updater = ClusterStateUpdater(ClusterState(), lambda view: None)
    stores = {"epoch": 1, "stable": {}, "next": None}
    updater.update_system_state({"stores": stores, "configuration": {"generation": 7, "body": "{}"}})
    (line,) = log_lines()
    assert line["event"] == "sender.configuration_invalid" and line["level"] == "ERROR" and line["node"] == "front-1"
    assert len(line["faults"]) > 1


def test_stop_before_the_last_turns_are_settled_is_logged(log_lines):
    agent_thread = AgentThread(SimpleNamespace(), ClusterState())
    settled = asyncio.Event()
    agent_thread.store_client = SimpleNamespace(wait_until_settled=settled.wait)
    agent_thread._start = lambda: asyncio.sleep(0)
    threading.Thread(target=agent_thread._run_loop, daemon=True).start()
    agent_thread.stop(0.05)
    agent_thread._loop.call_soon_threadsafe(agent_thread._loop.stop)
    (line,) = log_lines()
    assert line["event"] == "sender.not_wound_up" and line["level"] == "WARNING"

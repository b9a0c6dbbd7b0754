"""Life-cycle events of a sender: each is logged as one JSON line by the tier's log handler."""

import asyncio
import json
import logging
import os
import threading
from types import SimpleNamespace

import pytest

from dewpin.cluster import logs
from dewpin.dataplane.agent_thread import AgentThread
from dewpin.dataplane.cluster_state_updater import ClusterStateUpdater
from dewpin.dataplane.membership.cluster_state import ClusterState


@pytest.fixture
def log_lines():
    """Configure logging at the default level; provide a function that returns the lines written since its last call."""
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    handler = logs.configure("notice", "front-1", "sender", write_fd)

    def read():
        try:
            return [json.loads(line) for line in os.read(read_fd, 1 << 16).splitlines()]
        except BlockingIOError:
            return []

    yield read
    logger = logging.getLogger(logs.LOGGER_NAME)
    logger.removeHandler(handler)
    logger.propagate = True
    logger.setLevel(logging.NOTSET)
    os.close(read_fd)
    os.close(write_fd)


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

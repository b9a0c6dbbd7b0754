"""Events of a sender's life: each is one line of JSON at the tier's own handler."""

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
    """Configures the logs at the default level; gives a function that returns the lines written so far."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    handler = logs.configure("notice", "front-1", "sender", writing)

    def read():
        try:
            return [json.loads(line) for line in os.read(reading, 1 << 16).splitlines()]
        except BlockingIOError:
            return []

    yield read
    logger = logging.getLogger(logs.LOGGER_NAME)
    logger.removeHandler(handler)
    logger.propagate = True
    logger.setLevel(logging.NOTSET)
    os.close(reading)
    os.close(writing)


def test_faulty_configuration_is_logged_as_one_line_with_all_its_faults(log_lines):
    updater = ClusterStateUpdater(ClusterState(), lambda view: None)
    stores = {"epoch": 1, "stable": {}, "next": None}
    updater.update_system_state({"stores": stores, "configuration": {"generation": 7, "body": "{}"}})
    (line,) = log_lines()
    assert line["event"] == "sender.configuration_invalid" and line["level"] == "ERROR" and line["node"] == "front-1"
    assert len(line["faults"]) > 1


def test_stop_before_the_last_turns_are_settled_is_logged(log_lines):
    thread = AgentThread(SimpleNamespace(), ClusterState())
    settled = asyncio.Event()
    thread.store_client = SimpleNamespace(wait_until_settled=settled.wait)
    thread._start = lambda: asyncio.sleep(0)
    threading.Thread(target=thread._run_loop, daemon=True).start()
    thread.stop(0.05)
    thread._loop.call_soon_threadsafe(thread._loop.stop)
    (line,) = log_lines()
    assert line["event"] == "sender.not_wound_up" and line["level"] == "WARNING"

"""Graceful shutdown: how long requests in progress may continue after SIGTERM, and what is done before the exit."""

import asyncio
import threading

import pytest

from dewpin.dataplane.agent_thread import AgentThread
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.sender_process import drain_s

LAST_SIXTH = 5 / 6


@pytest.mark.parametrize("grace_s", [0.6, 1.0, 2.0, 3.0, 4.0, 8.0, 30.0])
def test_requests_in_progress_are_not_cut_before_last_sixth_of_grace(grace_s):
    assert LAST_SIXTH * grace_s < drain_s(grace_s) < grace_s


class Agent:
    def __init__(self):
        self.is_stopped = False

    async def stop(self):
        self.is_stopped = True


class SlowStoreClient:
    """Settles after some iterations of the event loop, as after replies of replicas; never if `is_unresponsive`."""

    def __init__(self, is_unresponsive=False):
        self.is_unresponsive = is_unresponsive
        self.is_settled = False

    async def wait_until_settled(self):
        for _ in range(50):
            await asyncio.sleep(0)
        if self.is_unresponsive:
            await asyncio.Event().wait()
        self.is_settled = True


def stop_sender(store_client, time_left_s):
    """Stop a sender with this store client and `time_left_s` of its grace period left; return its agent."""
    agent_thread = AgentThread(None, ClusterState())
    agent_thread.agent, agent_thread.store_client = Agent(), store_client
    loop = agent_thread._loop
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    agent_thread.stop(time_left_s)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    return agent_thread.agent


def test_last_turns_are_settled_before_process_exits():
    """Otherwise the reservations of these turns would stay in the budgets of their programs, which would get 402 too
    early."""
    store_client = SlowStoreClient()
    assert stop_sender(store_client, 1.0).is_stopped
    assert store_client.is_settled


def test_unresponsive_stores_do_not_delay_exit():
    assert stop_sender(SlowStoreClient(is_unresponsive=True), 0.02).is_stopped

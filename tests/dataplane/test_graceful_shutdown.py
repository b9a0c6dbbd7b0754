"""Graceful shutdown: how long requests in progress have after SIGTERM, and what is done before the process exits."""

import asyncio
import threading

import pytest

from dewpin.dataplane.__main__ import drain_s
from dewpin.dataplane.agent_thread import AgentThread
from dewpin.dataplane.membership.cluster_state import ClusterState

LAST_SIXTH = 5 / 6


@pytest.mark.parametrize("grace_s", [0.6, 1.0, 2.0, 3.0, 4.0, 8.0, 30.0])
def test_requests_in_progress_are_not_cut_before_last_sixth_of_grace(grace_s):
    assert LAST_SIXTH * grace_s < drain_s(grace_s) < grace_s


class Agent:
    def __init__(self):
        self.is_stopped = False

    async def stop(self):
        self.is_stopped = True


class SlowStores:
    """Settles after some iterations of the loop, as after replies of replicas; never with `dark`."""

    def __init__(self, dark=False):
        self.dark = dark
        self.is_settled = False

    async def wait_until_settled(self):
        for _ in range(50):
            await asyncio.sleep(0)
        if self.dark:
            await asyncio.Event().wait()
        self.is_settled = True


def stopped_sender(stores, left_s):
    """Return the agent of a sender with these stores, stopped with `left_s` of its grace left."""
    agent_thread = AgentThread(None, ClusterState())
    agent_thread.agent, agent_thread.store_client = Agent(), stores
    loop = agent_thread._loop
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    agent_thread.stop(left_s)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    return agent_thread.agent


def test_last_turns_are_settled_before_process_exits():
    """Otherwise the reservations of these turns would stay in their programs' budgets, and 402 would come too soon."""
    stores = SlowStores()
    assert stopped_sender(stores, 1.0).is_stopped
    assert stores.is_settled


def test_unresponsive_stores_do_not_delay_exit():
    assert stopped_sender(SlowStores(dark=True), 0.02).is_stopped

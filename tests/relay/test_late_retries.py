"""Retries whose connections are established late, in simulated time: the retry window is exact to the millisecond."""

import asyncio

import pytest

from dewpin.core import model
from dewpin.lab.event_loop import SimulatedEventLoop
from dewpin.lab.link_conditions import LinkConditions
from dewpin.lab.network import SimulatedNetwork
from dewpin.net.call import LAST_BYTE_HOLD_SECONDS
from dewpin.net.connection import Connection
from dewpin.net.connection_pool import ConnectionPool
from dewpin.ports import Accepted, SubmitRequest
from dewpin.relay.facade import Facade
from dewpin.relay.message_lifecycle import Relay
from dewpin.spool.journal import Journal
from driver import settings

RECEIVER = ("10.0.0.1", 80)
LATENCY_S = 0.0001
WINDOW_S = 0.9
MARGIN_S = 0.02
"""Part of a window that the dispatcher reserves for its tick and the response, with ticks of 5 ms."""
LATEST_CONNECTION_S = WINDOW_S - MARGIN_S - LAST_BYTE_HOLD_SECONDS
"""Latest time for a connection to be established, as the last byte of a call is held back for a short time."""


class Receiver:
    """Resets the first call once it is complete, and records the times of complete calls."""

    def __init__(self, loop):
        self.loop = loop
        self.calls = []
        self.received = []  # per connection

    def connection_made(self, transport):
        self.transport = transport
        self.received.append(b"")

    def data_received(self, data):
        self.received[-1] += data
        if self.received[-1].endswith(b"\r\n\r\nbody"):
            self.calls.append(self.loop.time())
            if len(self.calls) == 1:
                self.transport.abort()

    def eof_received(self):
        pass

    def connection_lost(self, error):
        pass


class Notices:
    """Acknowledges each notice at once."""

    def __init__(self):
        self.published = []

    def publish(self, message_id, is_deferred, retry_after_ms, on_acknowledged):
        self.published.append((message_id, is_deferred))
        on_acknowledged()


class Connections:
    """Opens connections of the network; the second is established at a given time after the first call."""

    def __init__(self, loop, comes_up_s):
        self.loop, self.network = loop, SimulatedNetwork(loop)
        self.comes_up_s = comes_up_s
        self.started_at_s = []

    async def open(self, factory, host, port):
        self.started_at_s.append(self.loop.time())
        out, back = LinkConditions(LATENCY_S), LinkConditions(LATENCY_S)
        if len(self.started_at_s) == 2:
            out.latency_s = self.started_at_s[0] + self.comes_up_s - self.loop.time() - LATENCY_S
            assert out.latency_s > 0.0, "the retry must start before its connection is established"
        self.network.link_between = lambda local, peer: out if peer == RECEIVER else back
        opened = await self.network.connect((host, port), factory)
        out.latency_s = LATENCY_S  # only the connection setup was delayed
        return opened


def run_scenario(folder, monkeypatch, comes_up_s):
    """Returns the times of the complete calls, relative to the start of the first, the data received on each
    connection, and the notices."""
    # it would read from a socket, and the simulation has none
    monkeypatch.setattr(Connection, "has_pending_input", lambda connection: False)
    loop = SimulatedEventLoop()
    receiver, notices, connections = Receiver(loop), Notices(), Connections(loop, comes_up_s)
    connections.network.listen(RECEIVER, lambda: receiver)
    loop.create_connection = connections.open
    sender_settings = settings(effects=("keyed",), retry_window_ms=1000.0 * WINDOW_S) | {"Zones": ["a"], "Kinds": ["k"]}
    sender_settings["Services"][0]["Name"] = "notice"
    facade = Facade(sender_settings, 1)

    async def scenario():
        facade.endpoints.update([(b"r", 7, model.ReceiverState.READY, RECEIVER, "a", "k", 1.0)], True)
        relay = Relay(loop, facade, Journal(folder, 1e6), ConnectionPool(loop, 1500.0, 0.0), notices)
        request = SubmitRequest(b"m", b"notice", b"", b"", b"7", b"tag", b"body", 10_000.0)
        assert isinstance(relay.submit(request), Accepted)
        await asyncio.sleep(3.0)

    loop.run(scenario())
    loop.close()
    assert len(connections.started_at_s) == 2 and loop.errors == []
    return [at_s - connections.started_at_s[0] for at_s in receiver.calls], receiver.received, notices.published


@pytest.mark.parametrize("comes_up_s", [WINDOW_S - MARGIN_S + 0.001, WINDOW_S, WINDOW_S + 0.1, WINDOW_S + 0.5])
def test_retry_is_not_sent_if_its_connection_is_established_after_its_window(tmp_path, monkeypatch, comes_up_s):
    calls, received, notices = run_scenario(tmp_path, monkeypatch, comes_up_s)
    assert len(calls) == 1 and received[1] == b""
    assert notices == [(b"m", False)]


def test_last_byte_of_a_retry_is_not_sent_after_its_window(tmp_path, monkeypatch):
    calls, received, notices = run_scenario(tmp_path, monkeypatch, LATEST_CONNECTION_S + 0.001)
    assert len(calls) == 1 and received[1].endswith(b"\r\n\r\nbod")
    assert notices == [(b"m", False)]


def test_retry_is_sent_if_its_connection_is_established_just_before_its_window_ends(tmp_path, monkeypatch):
    calls, received, _ = run_scenario(tmp_path, monkeypatch, LATEST_CONNECTION_S - 0.001)
    assert len(calls) == 2 and received[1].endswith(b"\r\n\r\nbody")
    assert calls[1] < WINDOW_S

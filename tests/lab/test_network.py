"""The simulated network: asyncio's guarantees for connections, and injected faults."""

import asyncio
import random

import pytest

from dewpin.lab.event_loop import SimulatedEventLoop
from dewpin.lab.link_conditions import LinkConditions
from dewpin.lab.machine import Machine
from dewpin.lab.network import AddressFault, SimulatedNetwork

SERVER_ADDRESS = ("10.0.0.1", 80)


class RecordingProtocol(asyncio.BufferedProtocol):
    """Records received data and events. `buffer` is small, so that one delivery needs several calls."""

    def __init__(self):
        self.received, self.lost, self.has_eof, self.write_pauses, self.transport = bytearray(), [], False, 0, None
        self.buffer = bytearray(1000)

    def connection_made(self, transport):
        self.transport = transport

    def get_buffer(self, sizehint):
        return memoryview(self.buffer)

    def buffer_updated(self, nbytes):
        self.received += self.buffer[:nbytes]

    def eof_received(self):
        self.has_eof = True

    def pause_writing(self):
        self.write_pauses += 1

    def resume_writing(self):
        self.write_pauses -= 1

    def connection_lost(self, error):
        self.lost.append(type(error).__name__ if error else None)


def run_scenario(scenario, seed=1):
    loop = SimulatedEventLoop(seed)
    network = SimulatedNetwork(loop)

    async def run():
        server, client, accepted = Machine(loop, "server"), Machine(loop, "client"), []

        def accept():
            accepted.append(RecordingProtocol())
            return accepted[-1]

        server.call(network.listen, SERVER_ADDRESS, accept)

        async def connect():
            task = client.start(network.connect(SERVER_ADDRESS, RecordingProtocol))
            await asyncio.wait([task])
            return task.result()[1]

        return await scenario(loop, network, server, client, connect, accepted)

    result = loop.run(run())
    assert not loop.errors, loop.errors
    return result, loop.digest()


@pytest.mark.parametrize("seed", range(6))
def test_bytes_arrive_complete_and_in_order_in_pieces_of_any_size_also_after_a_close(seed):
    async def scenario(loop, network, server, client, connect, accepted):
        rng = random.Random(seed)
        network.link_between = lambda *_: LinkConditions(latency_s=0.01, max_piece_bytes=rng.choice((0, 1, 7, 3000)))
        protocol, sent = await connect(), bytearray()
        for _ in range(30):
            data = rng.randbytes(rng.choice((1, 40, 5000)))
            sent += data
            protocol.transport.write(data)
        protocol.transport.close()
        protocol.transport.write(b"too late")
        await asyncio.sleep(5.0)
        (server_protocol,) = accepted
        assert (
            server_protocol.received == sent
            and server_protocol.has_eof
            and server_protocol.lost == [None] == protocol.lost
            and not network.transports
        )

    assert run_scenario(scenario, seed) == run_scenario(scenario, seed)


def test_paused_reading_fills_the_writers_buffer_and_loses_nothing():
    async def scenario(loop, network, server, client, connect, accepted):
        protocol = await connect()
        await asyncio.sleep(0.01)
        accepted[0].transport.pause_reading()
        for _ in range(40):
            protocol.transport.write(b"x" * 10_000)
        await asyncio.sleep(60.0)
        assert (
            protocol.write_pauses == 1
            and accepted[0].received == b""
            and protocol.transport.get_write_buffer_size() > 300_000
        )
        accepted[0].transport.resume_reading()
        await asyncio.sleep(1.0)
        assert (
            protocol.write_pauses == 0
            and len(accepted[0].received) == 400_000
            and protocol.transport.get_write_buffer_size() == 0
        )
        server.pause()
        protocol.transport.write(b"y" * 100)
        await asyncio.sleep(10.0)
        assert len(accepted[0].received) == 400_000
        server.resume()
        await asyncio.sleep(0.1)
        assert len(accepted[0].received) == 400_100

    run_scenario(scenario)


def test_abort_and_kill_reset_the_other_end_and_a_killed_machine_receives_nothing():
    async def scenario(loop, network, server, client, connect, accepted):
        aborted, other = await connect(), await connect()
        await asyncio.sleep(0.01)
        aborted.transport.write(b"lost")
        aborted.transport.abort()
        await asyncio.sleep(0.01)
        assert accepted[0].lost == ["ConnectionResetError"] and aborted.lost == [None]
        server.kill()
        await asyncio.sleep(0.01)
        assert other.lost == ["ConnectionResetError"] and accepted[1].lost == []
        with pytest.raises(ConnectionRefusedError):
            await connect()
        network.listen(SERVER_ADDRESS, RecordingProtocol)  # another listener may use the address now
        await connect()

    run_scenario(scenario)


def test_refused_silent_and_half_open_connections():
    async def scenario(loop, network, server, client, connect, accepted):
        network.address_faults[SERVER_ADDRESS] = AddressFault.REFUSED
        with pytest.raises(ConnectionRefusedError):
            await connect()
        network.address_faults[SERVER_ADDRESS] = AddressFault.SILENT
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(connect(), 30.0)
        del network.address_faults[SERVER_ADDRESS]
        protocol = await connect()
        await asyncio.sleep(0.01)
        protocol.transport.link.drops_all = True  # only one direction drops
        protocol.transport.write(b"dropped")
        accepted[0].transport.write(b"received")
        await asyncio.sleep(100.0)
        assert (
            accepted[0].received == b""
            and protocol.received == b"received"
            and not protocol.lost
            and not accepted[0].lost
        )
        protocol.transport.abort()
        await asyncio.sleep(100.0)
        assert accepted[0].lost == []  # the reset is dropped, so it stays open
        accepted[0].transport.write(b"?")
        await asyncio.sleep(1.0)
        assert accepted[0].lost == ["ConnectionResetError"]
        other = await connect()
        await asyncio.sleep(0.01)
        network.reset_connection(other.transport)
        await asyncio.sleep(0.01)
        assert other.lost == accepted[1].lost == ["ConnectionResetError"]

    run_scenario(scenario)


def test_address_has_one_listener_and_a_half_closed_connection_still_responds():
    async def scenario(loop, network, server, client, connect, accepted):
        with pytest.raises(OSError, match="in use"):
            network.listen(SERVER_ADDRESS, RecordingProtocol)

        class RespondingProtocol(RecordingProtocol):
            def eof_received(self):
                self.transport.write(b"answer")
                self.transport.close()
                return True

        network.listeners[SERVER_ADDRESS].protocol_factory = RespondingProtocol
        protocol = await connect()
        protocol.transport.write(b"question")
        protocol.transport.write_eof()
        await asyncio.sleep(1.0)
        assert protocol.received == b"answer" and protocol.has_eof and protocol.lost == [None]

    run_scenario(scenario)


def test_data_held_by_a_cut_arrives_in_order_once_the_link_is_restored():
    links = {}

    async def scenario(loop, network, server, client, connect, accepted):
        network.link_between = lambda local, remote: links.setdefault(local[0], LinkConditions())
        protocol = await connect()
        links["127.0.0.1"].is_cut = True
        for data in (b"one ", b"two ", b"three"):
            client.call(protocol.transport.write, data)
        await asyncio.sleep(1.0)
        before = bytes(accepted[0].received)
        links["127.0.0.1"].is_cut = False
        network.deliver_held()
        await asyncio.sleep(1.0)
        return before, bytes(accepted[0].received)

    assert run_scenario(scenario)[0] == (b"", b"one two three")


@pytest.mark.parametrize("direction", ["127.0.0.1", "10.0.0.1"])
def test_connection_without_acknowledgements_ends_at_its_sender_after_the_user_timeout(direction):
    """A cut in either direction suffices: without acknowledgements the sender cannot know that its bytes arrived."""
    links = {}

    async def scenario(loop, network, server, client, connect, accepted):
        network.link_between, network.user_timeout_s = (
            lambda local, remote: links.setdefault(local[0], LinkConditions()),
            2.0,
        )
        protocol = await connect()
        links[direction].is_cut = True
        client.call(protocol.transport.write, b"x")
        await asyncio.sleep(1.9)
        before = list(protocol.lost)
        await asyncio.sleep(0.2)
        links[direction].is_cut = False
        network.deliver_held()
        await asyncio.sleep(1.0)
        return before, protocol.lost, bytes(accepted[0].received)

    assert run_scenario(scenario)[0] == ([], ["TimeoutError"], b"" if direction == "127.0.0.1" else b"x")


def test_reset_while_connecting_fails_the_connect_call():
    """At this time the client has no protocol yet that could be notified of the reset."""

    async def scenario(loop, network, server, client, connect, accepted):
        network.link_between = lambda local, remote: LinkConditions(latency_s=0.5)
        connecting = asyncio.ensure_future(connect())
        await asyncio.sleep(0.7)
        network.reset_connection(next(iter(network.transports)))
        await asyncio.wait([connecting])
        return type(connecting.exception()).__name__

    assert run_scenario(scenario)[0] == "ConnectionResetError"

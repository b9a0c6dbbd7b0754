"""The simulated network against asyncio's own promises, and its failures."""

import asyncio
import random

import pytest

from dewpin.lab.event_loop import SimulatedEventLoop
from dewpin.lab.machine import Machine
from dewpin.lab.network import AddressFault, SimulatedNetwork
from dewpin.lab.transport import LinkConditions

AT = ("10.0.0.1", 80)


class Kept(asyncio.BufferedProtocol):
    """Keeps what came; `scratch` is small, so that one delivery takes several turns."""

    def __init__(self):
        self.came, self.lost, self.ended, self.full, self.transport = bytearray(), [], False, 0, None
        self.scratch = bytearray(1000)

    def connection_made(self, transport):
        self.transport = transport

    def get_buffer(self, sizehint):
        return memoryview(self.scratch)

    def buffer_updated(self, nbytes):
        self.came += self.scratch[:nbytes]

    def eof_received(self):
        self.ended = True

    def pause_writing(self):
        self.full += 1

    def resume_writing(self):
        self.full -= 1

    def connection_lost(self, error):
        self.lost.append(type(error).__name__ if error else None)


def play(scene, seed=1):
    loop = SimulatedEventLoop(seed)
    network = SimulatedNetwork(loop)

    async def whole():
        server, client, theirs = Machine(loop, "server"), Machine(loop, "client"), []

        def accept():
            theirs.append(Kept())
            return theirs[-1]

        server.call(network.listen, AT, accept)

        async def connect():
            task = client.start(network.connect(AT, Kept))
            await asyncio.wait([task])
            return task.result()[1]

        return await scene(loop, network, server, client, connect, theirs)

    result = loop.run(whole())
    assert not loop.errors, loop.errors
    return result, loop.digest()


@pytest.mark.parametrize("seed", range(6))
def test_bytes_come_whole_and_in_order_however_they_are_cut_and_a_close_lets_them_arrive(seed):
    async def scene(loop, network, server, client, connect, theirs):
        dice = random.Random(seed)
        network.link_between = lambda *_: LinkConditions(latency_s=0.01, max_piece_bytes=dice.choice((0, 1, 7, 3000)))
        mine, sent = await connect(), bytearray()
        for _ in range(30):
            part = dice.randbytes(dice.choice((1, 40, 5000)))
            sent += part
            mine.transport.write(part)
        mine.transport.close()
        mine.transport.write(b"too late")
        await asyncio.sleep(5.0)
        (other,) = theirs
        assert other.came == sent and other.ended and other.lost == [None] == mine.lost and not network.transports

    assert play(scene, seed) == play(scene, seed)


def test_who_does_not_read_fills_the_writers_buffer_and_nothing_is_lost():
    async def scene(loop, network, server, client, connect, theirs):
        mine = await connect()
        await asyncio.sleep(0.01)
        theirs[0].transport.pause_reading()
        for _ in range(40):
            mine.transport.write(b"x" * 10_000)
        await asyncio.sleep(60.0)
        assert mine.full == 1 and theirs[0].came == b"" and mine.transport.get_write_buffer_size() > 300_000
        theirs[0].transport.resume_reading()
        await asyncio.sleep(1.0)
        assert mine.full == 0 and len(theirs[0].came) == 400_000 and mine.transport.get_write_buffer_size() == 0
        server.pause()
        mine.transport.write(b"y" * 100)
        await asyncio.sleep(10.0)
        assert len(theirs[0].came) == 400_000
        server.resume()
        await asyncio.sleep(0.1)
        assert len(theirs[0].came) == 400_100

    play(scene)


def test_aborts_and_kills_are_seen_as_resets_and_a_dead_machine_hears_nothing():
    async def scene(loop, network, server, client, connect, theirs):
        one, two = await connect(), await connect()
        await asyncio.sleep(0.01)
        one.transport.write(b"lost")
        one.transport.abort()
        await asyncio.sleep(0.01)
        assert theirs[0].lost == ["ConnectionResetError"] and one.lost == [None]
        server.kill()
        await asyncio.sleep(0.01)
        assert two.lost == ["ConnectionResetError"] and theirs[1].lost == []
        with pytest.raises(ConnectionRefusedError):
            await connect()
        network.listen(AT, Kept)  # another takes the address over
        await connect()

    play(scene)


def test_refused_silent_and_half_open():
    async def scene(loop, network, server, client, connect, theirs):
        network.address_faults[AT] = AddressFault.REFUSED
        with pytest.raises(ConnectionRefusedError):
            await connect()
        network.address_faults[AT] = AddressFault.SILENT
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(connect(), 30.0)
        del network.address_faults[AT]
        mine = await connect()
        await asyncio.sleep(0.01)
        mine.transport.link.drops_all = True  # one direction is cut off: the other goes on
        mine.transport.write(b"into the void")
        theirs[0].transport.write(b"still heard")
        await asyncio.sleep(100.0)
        assert theirs[0].came == b"" and mine.came == b"still heard" and not mine.lost and not theirs[0].lost
        mine.transport.abort()
        await asyncio.sleep(100.0)
        assert theirs[0].lost == []  # nothing is said: it stays open and silent
        theirs[0].transport.write(b"?")
        await asyncio.sleep(1.0)
        assert theirs[0].lost == ["ConnectionResetError"]
        other = await connect()
        await asyncio.sleep(0.01)
        network.reset_connection(other.transport)
        await asyncio.sleep(0.01)
        assert other.lost == theirs[1].lost == ["ConnectionResetError"]

    play(scene)


def test_an_address_is_one_listeners_and_a_half_closed_connection_still_answers():
    async def scene(loop, network, server, client, connect, theirs):
        with pytest.raises(OSError, match="in use"):
            network.listen(AT, Kept)

        class Answers(Kept):
            def eof_received(self):
                self.transport.write(b"answer")
                self.transport.close()
                return True

        network.listeners[AT].protocol_factory = Answers
        mine = await connect()
        mine.transport.write(b"question")
        mine.transport.write_eof()
        await asyncio.sleep(1.0)
        assert mine.came == b"answer" and mine.ended and mine.lost == [None]

    play(scene)


def test_what_a_cut_held_up_arrives_in_its_order_once_the_way_is_joined():
    ways = {}

    async def scene(loop, network, server, client, connect, theirs):
        network.link_between = lambda local, peer: ways.setdefault(local[0], LinkConditions())
        mine = await connect()
        ways["127.0.0.1"].is_cut = True
        for piece in (b"one ", b"two ", b"three"):
            client.call(mine.transport.write, piece)
        await asyncio.sleep(1.0)
        before = bytes(theirs[0].came)
        ways["127.0.0.1"].is_cut = False
        network.deliver_held()
        await asyncio.sleep(1.0)
        return before, bytes(theirs[0].came)

    assert play(scene)[0] == (b"", b"one two three")


@pytest.mark.parametrize("direction", ["127.0.0.1", "10.0.0.1"])
def test_a_sender_without_a_word_for_the_user_timeout_gives_the_connection_up(direction):
    """One way is enough: without acknowledgements the sender can't know that its bytes arrived."""
    ways = {}

    async def scene(loop, network, server, client, connect, theirs):
        network.link_between, network.user_timeout_s = (
            lambda local, peer: ways.setdefault(local[0], LinkConditions()),
            2.0,
        )
        mine = await connect()
        ways[direction].is_cut = True
        client.call(mine.transport.write, b"x")
        await asyncio.sleep(1.9)
        before = list(mine.lost)
        await asyncio.sleep(0.2)
        ways[direction].is_cut = False
        network.deliver_held()
        await asyncio.sleep(1.0)
        return before, mine.lost, bytes(theirs[0].came)

    assert play(scene)[0] == ([], ["TimeoutError"], b"" if direction == "127.0.0.1" else b"x")


def test_a_connection_that_is_reset_while_it_is_made_fails_at_its_maker():
    """Seen to fail: there is no protocol yet that could be told."""

    async def scene(loop, network, server, client, connect, theirs):
        network.link_between = lambda local, peer: LinkConditions(latency_s=0.5)
        making = asyncio.ensure_future(connect())
        await asyncio.sleep(0.7)
        network.reset_connection(next(iter(network.transports)))
        await asyncio.wait([making])
        return type(making.exception()).__name__

    assert play(scene)[0] == "ConnectionResetError"

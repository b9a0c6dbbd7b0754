"""Connections to receivers that come up late, and what happens in the meantime: the receiver's queue is full, so that
the sender's first SYN is lost and its connection comes up with the second one, a second later."""

import asyncio
import signal
import socket

from driver import Sender, play, read_message, reply, until

SYN_SENT = "02"


class Full:
    """A receiver that accepts by hand, and whose queue of connections can be filled."""

    def __init__(self):
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.filling, self.calls, self.serving = [], [], None

    async def accept(self):
        return (await asyncio.get_running_loop().sock_accept(self.socket))[0]

    def fill(self):
        for _ in range(4):
            self.filling.append(socket.socket())
            self.filling[-1].setblocking(False)
            self.filling[-1].connect_ex(("127.0.0.1", self.port))

    def serve(self):
        """Empties the queue, and answers whatever call comes from then on."""
        self.serving = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self):
        while True:
            reader, writer = await asyncio.open_connection(sock=await self.accept())
            asyncio.get_running_loop().create_task(self._answer(reader, writer))

    async def _answer(self, reader, writer):
        while message := await read_message(reader):
            self.calls.append(message[1][b"req-id"])
            writer.write(reply(200))

    def waited_for(self):
        """Whether a connection to it, beside those that fill it, is on its way."""
        own = {one.getsockname()[1] for one in self.filling}
        with open("/proc/net/tcp") as file:
            rows = [line.split() for line in file.readlines()[1:]]
        return any(
            row[3] == SYN_SENT
            and int(row[2].split(":")[1], 16) == self.port
            and int(row[1].split(":")[1], 16) not in own
            for row in rows
        )

    def close(self):
        self.serving.cancel()
        for one in (self.socket, *self.filling):
            one.close()


def member(outside):
    full = Full()
    outside.members[0]["host_port"] = f"127.0.0.1:{full.port}"
    return full


async def on_its_way(outside, sender):
    """A once-only mail was picked, and its connection has not come up."""
    full = member(outside)
    await sender.start()
    full.fill()
    await sender.hand_in("once", kind="charge")
    await until(full.waited_for)
    return full


def test_message_was_not_executed_if_killed_while_its_connection_was_made(tmp_path):
    async def scene(outside, sender):
        full = await on_its_way(outside, sender)
        await sender.end()
        full.serve()
        await sender.start()
        await until(lambda: outside.notices or full.calls)
        assert full.calls == [b"once"] and not outside.notices
        full.close()

    play(tmp_path, scene, start=False)


def test_connection_made_after_the_last_attempt_may_start_is_left_to_the_next_start(tmp_path):
    async def scene(outside, sender):
        sender.told["stop"] = {"sends_ms": 0.0, "ends_ms": 10000.0}
        full = await on_its_way(outside, sender)
        sender.process.send_signal(signal.SIGTERM)
        while (await sender.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200:  # until the signal is taken in
            pass
        full.serve()
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        assert not full.calls and not outside.notices
        await sender.start()
        await until(lambda: full.calls)
        assert full.calls == [b"once"] and not outside.notices
        full.close()

    play(tmp_path, scene, start=False)


def test_connection_made_after_the_hand_over_is_left_to_the_next_process(tmp_path):
    async def scene(outside, sender):
        full = await on_its_way(outside, sender)
        sender.told["listen"] = "%s:%d" % sender.address
        again = Sender(outside, tmp_path)
        again.told = sender.told
        await again.start()
        full.serve()
        await until(lambda: full.calls and not again.owed())
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        assert full.calls == [b"once"] and not outside.notices
        await again.end()
        full.close()

    play(tmp_path, scene, start=False)

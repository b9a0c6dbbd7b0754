"""Connections to receivers that are established late, with a kill, stop or upgrade in the meantime.

The receiver's accept queue is full: the sender's first SYN is dropped, and its connection is established with the
second SYN, one second later.
"""

import asyncio
import signal
import socket

from driver import Sender, read_message, reply, run_scenario, wait_until

SYN_SENT = "02"


class FullReceiver:
    """A receiver that accepts connections only on demand, and whose accept queue can be filled."""

    def __init__(self):
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.fillers, self.calls, self.serving = [], [], None

    async def accept(self):
        return (await asyncio.get_running_loop().sock_accept(self.socket))[0]

    def fill(self):
        for _ in range(4):
            self.fillers.append(socket.socket())
            self.fillers[-1].setblocking(False)
            self.fillers[-1].connect_ex(("127.0.0.1", self.port))

    def serve(self):
        """Empties the accept queue, and responds to all calls from then on."""
        self.serving = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self):
        while True:
            reader, writer = await asyncio.open_connection(sock=await self.accept())
            asyncio.get_running_loop().create_task(self._answer(reader, writer))

    async def _answer(self, reader, writer):
        while message := await read_message(reader):
            self.calls.append(message[1][b"req-id"])
            writer.write(reply(200))

    def has_pending_connection(self):
        """Returns whether a connection other than those that fill the queue is being established."""
        own = {filler.getsockname()[1] for filler in self.fillers}
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
        for each in (self.socket, *self.fillers):
            each.close()


def replace_receiver(platform):
    receiver = FullReceiver()
    platform.members[0]["host_port"] = f"127.0.0.1:{receiver.port}"
    return receiver


async def start_pending_attempt(platform, sender):
    """Starts an attempt of a non-idempotent message whose connection is not established yet."""
    receiver = replace_receiver(platform)
    await sender.start()
    receiver.fill()
    await sender.submit("once", queue_class="charge")
    await wait_until(receiver.has_pending_connection)
    return receiver


def test_message_counts_as_not_executed_after_a_kill_while_connecting(tmp_path):
    async def scenario(platform, sender):
        receiver = await start_pending_attempt(platform, sender)
        await sender.end()
        receiver.serve()
        await sender.start()
        await wait_until(lambda: platform.notices or receiver.calls)
        assert receiver.calls == [b"once"] and not platform.notices
        receiver.close()

    run_scenario(tmp_path, scenario, start=False)


def test_message_whose_connection_is_established_too_late_in_a_stop_is_sent_after_the_next_start(tmp_path):
    async def scenario(platform, sender):
        sender.config["stop"] = {"sends_ms": 0.0, "ends_ms": 10000.0}
        receiver = await start_pending_attempt(platform, sender)
        sender.process.send_signal(signal.SIGTERM)
        while (await sender.exchange(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200:  # until the signal is handled
            pass
        receiver.serve()
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        assert not receiver.calls and not platform.notices
        await sender.start()
        await wait_until(lambda: receiver.calls)
        assert receiver.calls == [b"once"] and not platform.notices
        receiver.close()

    run_scenario(tmp_path, scenario, start=False)


def test_message_whose_connection_is_established_after_the_hand_over_is_sent_by_the_next_process(tmp_path):
    async def scenario(platform, sender):
        receiver = await start_pending_attempt(platform, sender)
        sender.config["listen"] = "%s:%d" % sender.address
        next_sender = Sender(platform, tmp_path)
        next_sender.config = sender.config
        await next_sender.start()
        receiver.serve()
        await wait_until(lambda: receiver.calls and not next_sender.pending_count())
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        assert receiver.calls == [b"once"] and not platform.notices
        await next_sender.end()
        receiver.close()

    run_scenario(tmp_path, scenario, start=False)

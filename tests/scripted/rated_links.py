"""Links with a bandwidth: the transfer time of a message depends on its size."""

import asyncio

from dewpin.cluster import netstring
from dewpin.cluster.compression import CompressedOutput
from dewpin.cluster.rpc import RpcError
from scripted.network import Client, Network

LATENCY_S = 0.0014


class LinkNetwork(Network):
    """A network in which each machine's outgoing link is a FIFO queue with `mbit` Mbit/s; None: no limit.

    `compresses`: count the bytes of a compressed stream for each direction, as between dewpin's processes; otherwise
    those of the plain netstrings, as if nothing could be compressed.
    """

    def __init__(self, compresses=False):
        super().__init__()
        self.compresses = compresses
        self._streams = {}
        self.bytes = 0
        self.largest = 0
        self.rates = {}  # by address, for links with a bandwidth of their own
        self.set_rate(None)

    def set_rate(self, mbit):
        """Set the bandwidth and clear the queues of all links."""
        self.mbit = mbit
        self._free_s = {}

    def client(self, source):
        return LinkClient(self, source)

    def _size(self, source, target, message):
        frame = netstring.encode(message)
        if not self.compresses:
            return len(frame)
        stream = self._streams.setdefault((source, target), CompressedOutput())
        return len(stream.encode(frame))

    async def carry(self, source, target, message):
        """Wait until the link has sent the message and it has arrived."""
        mbit = self.rates.get(source, self.mbit)
        if mbit is None:
            return
        size = self._size(source, target, message)
        self.bytes += size
        self.largest = max(self.largest, size)
        now_s = asyncio.get_running_loop().time()
        sent_s = max(now_s, self._free_s.get(source, 0.0)) + size * 8 / (mbit * 1e6)
        self._free_s[source] = sent_s
        await asyncio.sleep(sent_s + LATENCY_S - now_s)


class LinkClient(Client):
    """Calls over the links. An abandoned call still uses the bandwidth of the links."""

    async def _call(self, address, message):
        if not self.network.reaches(self.source, address):
            raise RpcError("connect", address)
        exchange = asyncio.ensure_future(self._exchange(address, message))
        exchange.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(exchange)

    async def _exchange(self, address, message):
        await self.network.carry(self.source, address, message)
        handler = self.network.handlers.get(address, {}).get(message["type"])
        if handler is None or not self.network.reaches(self.source, address):
            raise RpcError("connect", address)
        reply = await handler(message)
        await self.network.carry(address, self.source, reply)
        return reply

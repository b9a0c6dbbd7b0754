"""A network that delivers whole calls between the processes of a test, with links that can be cut."""

import asyncio

from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.rpc import RpcError, error_message

LATENCY_S = 0.002
FOREVER_S = 1e6


def encode_and_decode(message):
    """Return a message as its recipient decodes it."""
    (decoded,) = Decoder().feed(encode(message))
    return decoded


class Network:
    """Delivers calls between addresses."""

    def __init__(self):
        self.handlers = {}
        self.down = set()
        self.cuts = set()
        self.one_way_cuts = set()  # pairs of source and target
        self.calls = []
        self.latency_s = LATENCY_S
        self.on_call = lambda source, target, message: None

    def cut(self, *addresses):
        """Cut the links between these and all other addresses."""
        for address in addresses:
            self.cuts |= {frozenset((address, other)) for other in self.handlers if other not in addresses}

    def cut_one_way(self, *sources):
        """Cut the links from these to all other addresses; messages in the other direction still arrive."""
        for address in sources:
            self.one_way_cuts |= {(address, other) for other in self.handlers if other not in sources}

    def cut_inwards(self, *targets):
        """Cut the links from all other addresses to these; messages in the other direction still arrive."""
        for address in targets:
            self.one_way_cuts |= {(other, address) for other in self.handlers if other not in targets}

    def restore_links(self):
        self.cuts.clear()
        self.one_way_cuts.clear()

    def client(self, source):
        return Client(self, source)

    def reaches(self, source, target):
        if {source, target} & self.down or (source, target) in self.one_way_cuts:
            return False
        return frozenset((source, target)) not in self.cuts


class Client:
    """The calls of one process. Subclasses override what happens to a call and to its reply on the way."""

    def __init__(self, network, source):
        self.network = network
        self.source = source

    async def call(self, address, message, timeout_s):
        message = encode_and_decode(message)
        self.network.calls.append((self.source, address, message["type"]))
        self.network.on_call(self.source, address, message)
        try:
            return encode_and_decode(await asyncio.wait_for(self._call(address, message), timeout_s))
        except TimeoutError:
            raise RpcError("timeout", address) from None

    async def _call(self, address, message):
        await self.deliver(address, message)
        reply = await self.handle(address, message)
        await self.deliver_reply(address, message)
        if reply.get("type") == "error":
            raise RpcError(reply["kind"], reply["detail"], reply)
        return reply

    async def deliver(self, address, message):
        """Return once the call has arrived."""
        await self._travel(self.source, address)

    async def handle(self, address, message):
        """Return the reply of the process at `address`, with an RpcError encoded as an error message."""
        handler = self.network.handlers.get(address, {}).get(message["type"])
        if handler is None:
            raise RpcError("connect", address)
        try:
            return await handler(message)
        except RpcError as error:
            return encode_and_decode({**error.message, **error_message(error.kind, error.detail)})

    async def deliver_reply(self, address, message):
        """Return once the reply has arrived."""
        await self._travel(address, self.source)

    async def _travel(self, source, target):
        await asyncio.sleep(self.network.latency_s)
        if not self.network.reaches(source, target):
            await asyncio.sleep(FOREVER_S)

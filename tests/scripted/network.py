"""A network that carries calls whole between processes of one test, with links that are cut."""

import asyncio

from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.rpc import RpcError, error_message

LATENCY_S = 0.002
FOREVER_S = 1e6


def over_the_wire(message):
    """A message as the other side reads it."""
    (read,) = Decoder().feed(encode(message))
    return read


class Network:
    """Carries calls between addresses."""

    def __init__(self):
        self.handlers = {}
        self.down = set()
        self.cuts = set()
        self.one_way_cuts = set()  # pairs of source and target
        self.calls = []
        self.latency_s = LATENCY_S
        self.on_call = lambda source, target, message: None

    def cut(self, *addresses):
        """Cuts these off from all others."""
        for one in addresses:
            self.cuts |= {frozenset((one, other)) for other in self.handlers if other not in addresses}

    def cut_one_way(self, *sources):
        """Lets nothing out from these to any other; what the others send still arrives."""
        for one in sources:
            self.one_way_cuts |= {(one, other) for other in self.handlers if other not in sources}

    def cut_inwards(self, *targets):
        """Lets nothing in to these from any other; what they send still arrives."""
        for one in targets:
            self.one_way_cuts |= {(other, one) for other in self.handlers if other not in targets}

    def join(self):
        self.cuts.clear()
        self.one_way_cuts.clear()

    def client(self, source):
        return Client(self, source)

    def reaches(self, source, target):
        if {source, target} & self.down or (source, target) in self.one_way_cuts:
            return False
        return frozenset((source, target)) not in self.cuts


class Client:
    """The calls of one process. A subclass says what befalls a call on its way and its answer on the way back."""

    def __init__(self, network, source):
        self.network = network
        self.source = source

    async def call(self, address, message, timeout_s):
        message = over_the_wire(message)
        self.network.calls.append((self.source, address, message["type"]))
        self.network.on_call(self.source, address, message)
        try:
            return over_the_wire(await asyncio.wait_for(self._call(address, message), timeout_s))
        except TimeoutError:
            raise RpcError("timeout", address) from None

    async def _call(self, address, message):
        await self.deliver(address, message)
        answer = await self.handle(address, message)
        await self.bring_back(address, message)
        if answer.get("type") == "error":
            raise RpcError(answer["kind"], answer["detail"], answer)
        return answer

    async def deliver(self, address, message):
        """Return once the call has arrived."""
        await self._travel(self.source, address)

    async def handle(self, address, message):
        """Return what the process at `address` answers, a refusal as the message of its error."""
        handler = self.network.handlers.get(address, {}).get(message["type"])
        if handler is None:
            raise RpcError("connect", address)
        try:
            return await handler(message)
        except RpcError as fault:
            return over_the_wire({**fault.message, **error_message(fault.kind, fault.detail)})

    async def bring_back(self, address, message):
        """Return once the answer has come back."""
        await self._travel(address, self.source)

    async def _travel(self, source, target):
        await asyncio.sleep(self.network.latency_s)
        if not self.network.reaches(source, target):
            await asyncio.sleep(FOREVER_S)

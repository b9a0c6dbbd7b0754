"""A network in simulated time: connections in memory between machines, and everything that goes wrong on the way.

It owns every connection, the bytes that are on their way and the faults that are set. Protocols see what asyncio's
transports would show them; no socket is opened, and a byte that was lost is never delivered later.
"""
import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import Context
from functools import partial
from typing import Any

from .loop import MACHINE, Machine, SimLoop

WINDOW = 65536          # bytes on the way and unread by the other side, beyond which a writer's own buffer fills
LATENCY = 0.0002        # seconds one way
REFUSED, SILENT = "refused", "silent"

Address = tuple[str, int]


class Way:
    """How bytes go from one side to the other; both sides of a connection have one. Changed while it is in use.

    `latency`: seconds; `silent`: bytes and ends vanish without a word; `pieces`: bytes at most in one delivery, 0: as
    written; `cut`: nothing arrives, and what its sender still wants to send arrives once the way is joined again, as
    with TCP (`Network.join`)."""
    __slots__ = ("latency", "silent", "pieces", "cut")

    def __init__(self, latency: float = LATENCY, silent: bool = False, pieces: int = 0, cut: bool = False) -> None:
        self.latency, self.silent, self.pieces, self.cut = latency, silent, pieces, cut


class Side(asyncio.Transport):
    """One end of a connection: a transport for its protocol, owned by the machine that opened or accepted it."""

    def __init__(self, network: "Network", machine: Machine | None, local: Address, peer: Address, way: Way) -> None:
        super().__init__()
        self.network, self.loop, self.machine, self.way = network, network.loop, machine, way
        self.local, self.remote = local, peer
        self.other: Side | None = None
        self.protocol: Any = None
        self.out, self.out_size = deque[bytes](), 0     # written, and no room on the way yet
        self.flying = 0             # bytes on the way or unread by the other side
        self.unread, self.unread_size = deque[bytes](), 0
        self.eof_out = self.eof_in = self.closing = self.dead = self.reading_paused = self.told_full = False
        self.high, self.low = 65536, 16384
        self.clear_at = 0.0         # when the last delivery arrives: none overtakes another
        self.held = deque[Callable[[Side], None]]()     # did not get through a way that is cut
        self.watched = False        # whether the user time-out runs
        network.made += 1
        self.number = network.made

    def __hash__(self) -> int:
        return self.number      # not its place in memory: sets of sides have the same order in every run

    def __eq__(self, other: object) -> bool:
        return self is other

    # -- what a protocol asks of its transport ----------------------------------------------------------------

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"peername": self.remote, "sockname": self.local, "side": self}.get(name, default)

    def is_closing(self) -> bool:
        return self.closing or self.dead

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Any:
        return self.protocol

    def is_reading(self) -> bool:
        return not self.reading_paused and not self.is_closing()

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        if self.reading_paused:
            self.reading_paused = False
            self.loop.call_soon(self._hand_over)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = 65536 if high is None else high
        self.low = self.high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return self.out_size

    def write(self, data: Any) -> None:
        if self.dead or self.closing or self.eof_out or not data:
            return
        self.out.append(bytes(data))
        self.out_size += len(data)
        self._push()
        if self.out_size > self.high and not self.told_full:
            self.told_full = True
            self.protocol.pause_writing()

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self.eof_out:
            self.eof_out = True
            self._push()

    def close(self) -> None:
        """What is written still leaves, then the end."""
        if self.is_closing():
            return
        self.closing = True
        self.eof_out = True
        self._push()
        if not self.out:
            self._lose(None)

    def abort(self) -> None:
        """Now; what has not left is lost, and the other side sees a reset."""
        if self.dead:
            return
        self.closing = True
        self._reset_other()
        self._lose(None)

    # -- bytes on their way -----------------------------------------------------------------------------------

    def _push(self) -> None:
        """Sends what the window lets through, cut as the way cuts."""
        while self.out and self.flying < WINDOW:
            data = self.out.popleft()
            most = min(WINDOW - self.flying, self.loop.dice.randint(1, self.way.pieces) if self.way.pieces else WINDOW)
            if len(data) > most:
                self.out.appendleft(data[most:])
                data = data[:most]
            self.out_size -= len(data)
            self.flying += len(data)
            self._fly(partial(Side._arrive, data=data))
        if self.eof_out and not self.out and not self.dead:
            self._fly(Side._end)
        if self.told_full and self.out_size <= self.low:
            self.told_full = False
            self.loop.call_soon(self.protocol.resume_writing)

    def _fly(self, what: Callable[["Side"], None]) -> None:
        if self.way.silent:
            return
        self.clear_at = max(self.clear_at, self.loop.now + self.way.latency)
        self.network.at(self.clear_at, self._land, what)

    def _land(self, what: Callable[["Side"], None]) -> None:
        other = self.other
        if other is None or self.way.silent:
            return
        if self.way.cut or self.held:
            self.held.append(what)
            self._watch_for_answers()
            return
        if other.way.cut:
            self._watch_for_answers()
        if other.dead:
            if not self.dead:       # nobody is there any more
                self.network.at(self.loop.now + self.way.latency, self._heard_reset)
            return
        what(other)

    def release(self) -> None:
        """The way is joined again: what is still wanted arrives, in its order."""
        held, self.held = self.held, deque()
        for what in held:
            self._fly(what)

    def _watch_for_answers(self) -> None:
        """TCP_USER_TIMEOUT: data without a word from the other side for so long ends the connection at its sender."""
        limit = self.network.user_timeout
        if limit is not None and not self.watched:
            self.watched = True
            self.network.at(self.loop.now + limit, self._give_up)

    def _give_up(self) -> None:
        self.watched = False
        if not self.dead and self.other is not None and (self.way.cut or self.other.way.cut):
            self.closing = True
            self._lose(TimeoutError(110, "Connection timed out"))

    def _arrive(self, data: bytes) -> None:
        self.unread.append(data)
        self.unread_size += len(data)
        self._as_owner(self._hand_over)

    def _end(self) -> None:
        if not self.eof_in:
            self.eof_in = True
            self._as_owner(self._hand_over)

    def _hand_over(self) -> None:
        """Gives the protocol what came, as far as it reads."""
        while self.unread and not self.reading_paused and not self.is_closing():
            data = self.unread.popleft()
            self.network.loop.note(self.name(), "reads", len(data))
            if isinstance(self.protocol, asyncio.BufferedProtocol):
                room: Any = self.protocol.get_buffer(len(data))
                taken = min(len(room), len(data))
                room[:taken] = data[:taken]
                if taken < len(data):
                    self.unread.appendleft(data[taken:])
                self._read(taken)
                self.protocol.buffer_updated(taken)
            else:
                self._read(len(data))
                self.protocol.data_received(data)
        if self.eof_in and not self.unread and not self.is_closing() and not self.reading_paused:
            self.eof_in = False
            self.network.loop.note(self.name(), "hears the end")
            if not self.protocol.eof_received():
                self.close()

    def _read(self, size: int) -> None:
        self.unread_size -= size
        if self.other is not None and not self.other.dead:
            self.other.flying -= size
            if self.other.out:
                self.network.at(self.loop.now, self.other._push)

    # -- ends -------------------------------------------------------------------------------------------------

    def name(self) -> str:
        return f"{self.local[0]}:{self.local[1]}>{self.remote[0]}:{self.remote[1]}"

    def _heard_reset(self) -> None:
        if not self.dead:
            self.closing = True
            self._lose(ConnectionResetError(104, "Connection reset by peer"))

    def _reset_other(self) -> None:
        other = self.other
        if other is not None and not self.way.silent:
            self.network.at(max(self.loop.now + self.way.latency, self.loop.now), self._land_reset)

    def _land_reset(self) -> None:
        """A reset is told once: through a way that is cut it is lost."""
        if not self.way.cut and self.other is not None:
            self.other._heard_reset()

    def _lose(self, error: Exception | None) -> None:
        if self.dead:
            return
        self.dead = True
        self.out.clear()
        self.out_size = 0
        self.unread.clear()
        self.network.loop.note(self.name(), "ends", type(error).__name__)
        self.network.sides.discard(self)
        if self.protocol is not None:       # else it is being made yet, and `connect` fails
            self._as_owner(self.protocol.connection_lost, error)

    def vanish(self) -> None:
        """Its machine was killed: the system closes for it, and nothing of the machine's runs."""
        if not self.dead:
            self.dead = True
            self.network.sides.discard(self)
            self._reset_other()

    def _as_owner(self, work: Callable[..., Any], *given: Any) -> None:
        if self.machine is None:
            self.loop.call_soon(work, *given)
        else:
            self.loop.call_soon(work, *given, context=self.machine.context)


class Listener:
    """Stands where asyncio's Server does."""

    def __init__(self, network: "Network", machine: Machine | None, address: Address,
                 factory: Callable[[], Any]) -> None:
        self.network, self.machine, self.address, self.factory = network, machine, address, factory

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]

    def is_serving(self) -> bool:
        return self.network.listeners.get(self.address) is self

    async def wait_closed(self) -> None:
        return None


class Network:
    """All machines' network. `faults`: what befalls new connections to an address; `way`: how new connections go."""

    def __init__(self, loop: SimLoop) -> None:
        self.loop = loop
        self.listeners: dict[Address, Listener] = {}
        self.sides: set[Side] = set()
        self.faults: dict[Address, str] = {}
        self.way: Callable[[Address, Address], Way] = lambda local, peer: Way()
        self.ports = 40_000
        self.made = 0           # sides so far
        self.user_timeout: float | None = None

    def at(self, when: float, work: Callable[..., Any], *given: Any) -> None:
        """Runs the network's own work, which is no machine's."""
        self.loop.call_at(when, work, *given, context=Context())

    def listen(self, address: Address, factory: Callable[[], Any]) -> Listener:
        """Listens for the machine that asks; OSError where somebody does already."""
        if address in self.listeners:
            raise OSError(98, f"address in use: {address}")
        machine = MACHINE.get()
        listener = self.listeners[address] = Listener(self, machine, address, factory)
        if machine is not None:
            machine.ends.append(listener.close)
        return listener

    async def connect(self, address: Address, factory: Callable[[], Any], host: str = "127.0.0.1") -> tuple[Side, Any]:
        """A connection of the machine that asks; OSError where it is refused; for ever where the way is silent."""
        machine, self.ports = MACHINE.get(), self.ports + 1
        local = (host, self.ports)
        there, back = self.way(local, address), self.way(address, local)
        if self.faults.get(address) == SILENT or there.silent or back.silent or there.cut or back.cut:
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(there.latency)
        listener = self.listeners.get(address)
        if listener is None or self.faults.get(address) == REFUSED:
            await asyncio.sleep(back.latency)
            raise ConnectionRefusedError(111, f"connect call failed {address}")
        if listener.machine is not None and listener.machine.paused and self.faults.get(address) == SILENT:
            await asyncio.get_running_loop().create_future()
        mine = Side(self, machine, local, address, there)
        theirs = Side(self, listener.machine, address, local, back)
        mine.other, theirs.other = theirs, mine
        for side in (mine, theirs):
            self.sides.add(side)
            if side.machine is not None:
                side.machine.ends.append(side.vanish)
        self.loop.note(mine.name(), "connects")
        theirs.protocol = theirs.machine.call(listener.factory) if theirs.machine else listener.factory()
        theirs._as_owner(theirs.protocol.connection_made, theirs)
        await asyncio.sleep(back.latency)
        if mine.dead:
            raise ConnectionResetError(104, "Connection reset by peer")
        protocol = mine.protocol = factory()
        protocol.connection_made(mine)
        return mine, protocol

    def join(self) -> None:
        """To be called after ways were joined again: delivers what was held up and is still wanted."""
        for side in sorted(self.sides, key=lambda one: one.number):
            if side.held and not side.way.cut:
                side.release()

    def reset(self, side: Side) -> None:
        """Breaks a connection from outside: both ends see a reset."""
        for one in (side, side.other):
            if one is not None:
                one._as_owner(one._heard_reset)

"""Clients of a simulated run: requests that look which configuration they meet, and agent programs with their turns.

What a front does for a turn (budget, chain, receiver, keeping, settlement) follows `dataplane/programs/turns.py`; its
calls go to the front's own StoreClient.
"""

import asyncio

from dewpin.cluster.errors import TierError
from dewpin.dataplane.programs.history_cache import HistoryCache
from dewpin.dataplane.programs.program_store import Settlement, Turn

from .oracle import Served

REQUEST_EVERY_S = 0.1
CLIENT_TIMEOUT_S = 3.0
OPEN_TIMEOUT_S, CUT_OFF_OPEN_TIMEOUT_S, KEEP_TIMEOUT_S = 1.0, 0.15, 2.0
RETAIN_S = 120.0
WORK_S = 0.05
CLIENT_IP = "10.254.0.1"


class Clients:
    """All requests and programs."""

    def __init__(self, world):
        self.world = world
        self.oracle = world.oracle
        self.dice = world.dice
        self.turns = 0
        self.started = 0
        self.programs = []

    # Requests of plain routes

    async def request_for_ever(self):
        """Requests at every front, each of which notes the configuration that it meets."""
        while True:
            await asyncio.sleep(REQUEST_EVERY_S * self.dice.uniform(0.5, 1.5))
            for front in self.world.fronts():
                if front.runs and front.agent is not None:
                    sent_s = self.world.loop.now
                    self.world.loop.call_soon(self._request, front, sent_s, context=front.machine.context)

    def _request(self, front, sent_s):
        met = front.generation()
        if met is not None:
            met = met[0], met[1].strip("/")
        now = self.world.loop.now
        self.oracle.request_served(Served(front.ip, front.life, sent_s, now, front.is_ready, met))

    # Turns of agent programs

    async def programs_for_ever(self, pause_s):
        """Programs that start one after the other and run side by side."""
        while True:
            await asyncio.sleep(pause_s * self.dice.uniform(0.2, 1.8))
            self.start_program()

    def start_program(self):
        self.started += 1
        most = self.dice.choice((40, 100, 200))
        program = self.oracle.program(f"program-{self.started}", most * self.dice.randint(2, 12), most)
        self.programs.append(program)
        task = asyncio.ensure_future(self._run_program(program, self.dice.randint(2, 14)))
        return task

    def add_program(self, most, turns_in_budget):
        """A program whose turns a scenario takes one by one (`take_turn`)."""
        self.started += 1
        program = self.oracle.program(f"program-{self.started}", most * turns_in_budget, most)
        self.programs.append(program)
        return program

    async def take_turn(self, front, program, previous=None):
        """One try of one turn at a front: the turn's id, and how the try ended (`_client_try`)."""
        turn = self._new_turn()
        return turn, await self._client_try(front, program, turn, previous)

    async def _run_program(self, program, turns):
        previous, failures = None, 0
        while turns and failures < 8:
            front = self._front()
            status = None
            if front is not None:
                turn = self._new_turn()
                status = await self._client_try(front, program, turn, previous)
            if status == "done":
                previous, turns, failures = turn, turns - 1, 0
            elif status == "budget_spent":
                return
            else:
                failures += 1
            if self.dice.random() < 0.1 and previous is not None:  # a sub-agent beside
                side = self._front()
                if side is not None:
                    asyncio.ensure_future(self._client_try(side, program, self._new_turn(), previous))
            await asyncio.sleep(self.dice.uniform(0.02, 0.6) * (1 + failures))

    def _new_turn(self):
        self.turns += 1
        return f"turn-{self.turns}"

    def _front(self):
        """A front that is ready, or sometimes any: the platform's list of ready ones is old by a little."""
        fronts = self.world.fronts()
        ready = [front for front in fronts if front.is_ready]
        running = [front for front in fronts if front.serves and front.store_client is not None]
        if running and (not ready or self.dice.random() < 0.05):
            return self.dice.choice(running)
        return self.dice.choice(ready) if ready else None

    async def _client_try(self, front, program, turn, previous):
        """How one try of a client ended: `done`, a kind of error, or None without an answer."""
        self.oracle.turn_sent(program, turn)
        task = front.machine.start(self._serve(front, program, turn, previous))
        await asyncio.wait({task}, timeout=CLIENT_TIMEOUT_S)
        if not task.done() or task.cancelled():
            task.cancel()
            return None
        status, tokens, body = task.result()
        if status == "done":
            self.oracle.turn_ended(program, turn, previous, tokens, body)
        else:
            self.oracle.turn_refused(program, turn, status, previous, RETAIN_S)
        return status

    async def _serve(self, front, program, turn, previous):
        """A turn at a front, in the order of `dewpin.dataplane.programs.turns.OpenTurn`."""
        store = front.store_client
        open_s = OPEN_TIMEOUT_S if front.agent.has_control_plane_contact else CUT_OFF_OPEN_TIMEOUT_S
        try:
            reservation = await self._begin(store, program, turn, previous, open_s)
        except TierError as error:
            return error.kind.value, 0, b""
        settlement = Settlement(reservation, 0)
        try:
            await asyncio.sleep(WORK_S * self.dice.uniform(0.2, 4))
            used = self.dice.randint(1, program.most)
            self.oracle.tokens_handed_out(program, turn, used)
            said, answer = f"[{turn}?]".encode(), f"[{turn}!{'y' * used}]".encode()
            kept = Turn(turn, program.name, previous, said, answer, RETAIN_S)
            settlement, carried = None, Settlement(reservation, used)
            await store.store_turn(kept, KEEP_TIMEOUT_S, carried)
        except TierError as error:
            return error.kind.value, used, b""
        finally:
            if settlement is not None:
                store.settle(settlement.reservation, settlement.used_tokens)
        return "done", used, said + answer

    async def _begin(self, store, program, turn, previous, open_s):
        """The turn's reservation, once the chain that it goes on from is read."""
        cached = b"" if previous is None else store.cache.complete_history(program.name, previous)
        if cached is not None:
            reservation, chain = await store.reserve(program.name, turn, program.most, program.budget, open_s), cached
        else:
            start = await store.begin_turn(program.name, turn, program.most, program.budget, previous, open_s)
            reservation, chain = start.reservation, start.history
        if previous is not None:
            self.oracle.chain_read(program, previous, chain)
        return reservation

    # After the end

    async def read_everything(self, front, until_s):
        """Read every chain that has to be there, from the stores alone, until it comes or the time is over."""
        front.store_client.cache = HistoryCache(clock_s=self.world.loop.time)
        for program in self.programs:
            kept = [turn for turn, (_, _, at_s) in program.turns.items() if self.world.loop.now - at_s < RETAIN_S]
            if kept:
                await self._read(front, program, kept[-1], until_s)

    async def _read(self, front, program, turn, until_s):
        while True:
            task = front.machine.start(front.store_client.read_history(program.name, turn, OPEN_TIMEOUT_S))
            await asyncio.wait({task})
            error = task.exception()
            if error is None:
                self.oracle.chain_read(program, turn, task.result())
                self.oracle.figures["chains_read"] += 1
                return
            if not isinstance(error, TierError):
                raise error
            if error.kind.value == "turn_unknown":
                self.oracle.breaks("LOST", f"{program.name}: {turn}, acknowledged, is unknown at the end")
                return
            if self.world.loop.now > until_s:
                self.oracle.breaks("RECOVER", f"{program.name}: {turn} can't be read: {error}")
                return
            await asyncio.sleep(0.2)

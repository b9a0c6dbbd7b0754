"""Clients of a simulated run: requests that record which configuration serves them, and agent programs with turns.

The steps of a turn on a front (reservation, history, receiver call, storing, settlement) follow
`dataplane/programs/turns.py` and call the front's own StoreClient.
"""

import asyncio

from dewpin.cluster.errors import TierError
from dewpin.dataplane.programs.history import EMPTY_HISTORY
from dewpin.dataplane.programs.history_cache import HistoryCache
from dewpin.dataplane.programs.program_store import Settlement, Turn

from .oracle import ServedRequest

REQUEST_EVERY_S = 0.1
CLIENT_TIMEOUT_S = 3.0
OPEN_TIMEOUT_S, CUT_OFF_OPEN_TIMEOUT_S, KEEP_TIMEOUT_S = 1.0, 0.15, 2.0
RETAIN_S = 120.0
WORK_S = 0.05
CLIENT_IP = "10.254.0.1"


class Clients:
    """Sends all client requests and runs all agent programs. `retain_s`: the retention of their turns."""

    def __init__(self, world):
        self.world = world
        self.oracle = world.oracle
        self.rng = world.rng
        self.retain_s = RETAIN_S
        self.turns = 0
        self.started = 0
        self.programs = []

    # Requests of plain routes

    async def request_forever(self):
        """Send requests to every front and report to the oracle the configuration that serves each."""
        while True:
            await asyncio.sleep(REQUEST_EVERY_S * self.rng.uniform(0.5, 1.5))
            for front in self.world.fronts():
                if front.is_running and front.agent is not None:
                    sent_s = self.world.loop.now
                    self.world.loop.call_soon(self._request, front, sent_s, context=front.machine.context)

    def _request(self, front, sent_s):
        configuration = front.served_configuration()
        if configuration is not None:
            configuration = configuration[0], configuration[1].strip("/")
        now = self.world.loop.now
        self.oracle.request_served(
            ServedRequest(front.ip, front.process_number, sent_s, now, front.is_ready, configuration)
        )

    # Turns of agent programs

    async def run_programs_forever(self, pause_s):
        """Start programs one after the other; they run concurrently."""
        while True:
            await asyncio.sleep(pause_s * self.rng.uniform(0.2, 1.8))
            self.start_program()

    def start_program(self):
        self.started += 1
        max_tokens = self.rng.choice((40, 100, 200))
        program = self.oracle.program(f"program-{self.started}", max_tokens * self.rng.randint(2, 12), max_tokens)
        self.programs.append(program)
        task = asyncio.ensure_future(self._run_program(program, self.rng.randint(2, 14)))
        return task

    def add_program(self, max_tokens, turns_in_budget):
        """Add a program whose turns the scenario runs one by one (`take_turn`)."""
        self.started += 1
        program = self.oracle.program(f"program-{self.started}", max_tokens * turns_in_budget, max_tokens)
        self.programs.append(program)
        return program

    async def take_turn(self, front, program, previous=None):
        """Attempt one turn once at a front. Returns the turn's id and the outcome (`_attempt_turn`)."""
        turn = self._new_turn()
        return turn, await self._attempt_turn(front, program, turn, previous)

    async def _run_program(self, program, turns):
        previous, failures = None, 0
        while turns and failures < 8:
            front = self.random_front()
            status = None
            if front is not None:
                turn = self._new_turn()
                status = await self._attempt_turn(front, program, turn, previous)
            if status == "done":
                previous, turns, failures = turn, turns - 1, 0
            elif status == "budget_spent":
                return
            else:
                failures += 1
            if self.rng.random() < 0.1 and previous is not None:  # a sub-agent runs concurrently
                other_front = self.random_front()
                if other_front is not None:
                    asyncio.ensure_future(self._attempt_turn(other_front, program, self._new_turn(), previous))
            await asyncio.sleep(self.rng.uniform(0.02, 0.6) * (1 + failures))

    def _new_turn(self):
        self.turns += 1
        return f"turn-{self.turns}"

    def random_front(self):
        """A ready front, or sometimes any running one: the platform's list of ready fronts is slightly outdated."""
        fronts = self.world.fronts()
        ready = [front for front in fronts if front.is_ready]
        running = [front for front in fronts if front.is_responsive and front.store_client is not None]
        if running and (not ready or self.rng.random() < 0.05):
            return self.rng.choice(running)
        return self.rng.choice(ready) if ready else None

    async def _attempt_turn(self, front, program, turn, previous):
        """Attempt a turn as a client. Returns `done`, the kind of an error, or None if there was no answer."""
        self.oracle.turn_sent(program, turn)
        task = front.machine.start(self._run_turn(front, program, turn, previous))
        await asyncio.wait({task}, timeout=CLIENT_TIMEOUT_S)
        if not task.done() or task.cancelled():
            task.cancel()
            return None
        status, tokens, body = task.result()
        if status == "done":
            self.oracle.turn_completed(program, turn, previous, tokens, body)
        else:
            self.oracle.turn_failed(program, turn, status, previous, self.retain_s)
        return status

    async def _run_turn(self, front, program, turn, previous):
        """Run a turn at a front, in the order of `dewpin.dataplane.programs.turns.OpenTurn`."""
        store = front.store_client
        open_s = OPEN_TIMEOUT_S if front.agent.has_control_plane_contact else CUT_OFF_OPEN_TIMEOUT_S
        try:
            reservation, history = await self._reserve(store, program, turn, previous, open_s)
        except TierError as error:
            return error.kind.value, 0, b""
        settlement = Settlement(reservation, 0)
        try:
            await asyncio.sleep(WORK_S * self.rng.uniform(0.2, 4))
            used = self.rng.randint(1, program.max_tokens)
            self.oracle.tokens_emitted(program, turn, used)
            input_text, answer = f"[{turn}?]".encode(), f"[{turn}!{'y' * used}]".encode()
            kept = Turn(turn, program.name, previous, input_text, answer, self.retain_s, history)
            settlement, carried = None, Settlement(reservation, used)
            await store.store_turn(kept, KEEP_TIMEOUT_S, carried)
        except TierError as error:
            return error.kind.value, used, b""
        finally:
            if settlement is not None:
                store.settle(settlement.reservation, settlement.used_tokens)
        return "done", used, input_text + answer

    async def _reserve(self, store, program, turn, previous, open_s):
        """Reserve tokens for the turn and read the history that it continues. Returns the reservation
        and the history."""
        cached = EMPTY_HISTORY if previous is None else store.cache.complete_history(program.name, previous)
        if cached is not None:
            reservation, history = (
                await store.reserve(program.name, turn, program.max_tokens, program.budget, open_s),
                cached,
            )
        else:
            start = await store.begin_turn(program.name, turn, program.max_tokens, program.budget, previous, open_s)
            reservation, history = start.reservation, start.history
        if previous is not None:
            self.oracle.history_read(program, previous, history.content)
        return reservation, history

    # Checks after the run

    async def read_everything(self, front, until_s):
        """Read every history that must be stored, from the stores alone, retrying until `until_s`."""
        front.store_client.cache = HistoryCache(clock_s=self.world.loop.time)
        for program in self.programs:
            kept = [turn for turn, (_, _, at_s) in program.turns.items() if self.world.loop.now - at_s < self.retain_s]
            if kept:
                await self._read(front, program, kept[-1], until_s)

    async def _read(self, front, program, turn, until_s):
        while True:
            task = front.machine.start(front.store_client.read_history(program.name, turn, OPEN_TIMEOUT_S))
            await asyncio.wait({task})
            error = task.exception()
            if error is None:
                self.oracle.history_read(program, turn, task.result().content)
                self.oracle.statistics["chains_read"] += 1
                return
            if not isinstance(error, TierError):
                raise error
            if error.kind.value == "turn_unknown":
                self.oracle.report_violation(
                    "LOST", f"{program.name}: {turn} was acknowledged but is unknown at the end"
                )
                return
            if self.world.loop.now > until_s:
                self.oracle.report_violation("RECOVER", f"{program.name}: {turn} cannot be read: {error}")
                return
            await asyncio.sleep(0.2)

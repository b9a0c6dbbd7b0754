"""Conversations of a simulated run that go on for as long as the scenario lasts, each turn through another front."""

import asyncio

from dewpin.controlplane.store.sender_handlers import RETENTION_MARGIN_MS
from dewpin.dataplane.programs.turn_write import BACKGROUND_WRITE_S

PAUSE_S = 0.4, 2.0  # between two turns
RETRY_PAUSE_S = 0.2, 0.4
TRIES = 6
MAX_TOKENS, TURNS_IN_BUDGET = 40, 100_000
SUB_AGENT_SHARE = 0.03
MAX_CONVERSATIONS = 8
PURGE_S = 5.0  # for purging a history of a few hundred turns, after it has expired


class Conversation:
    """A line of turns of one program. `last_turn`: the newest turn that was served; `owner`: the program that took it;
    `is_stopped`: no turn begins."""

    def __init__(self, context, program, last_turn=None, owner=None):
        self.context, self.program, self.last_turn, self.owner = context, program, last_turn, owner or program
        self.is_stopped = False

    async def run(self):
        """Take turns until stopped; begin anew if the last turn was not continued while it was retained."""
        while not self.is_stopped:
            await self.context.wait(*PAUSE_S)
            if not await self.take_turn() and not self.is_retained:
                self.last_turn = None

    async def take_turn(self):
        """Take one turn, in several tries at random fronts. Returns whether it was served."""
        clients, first_try_s = self.context.clients, self.context.world.loop.now
        outcomes = []
        while len(outcomes) < TRIES:
            front = clients.random_front()
            if front is not None:
                turn, status = await clients.take_turn(front, self.program, self.last_turn)
                outcomes.append(status)
                if status == "done":
                    self.last_turn, self.owner = turn, self.program
                    return True
            await self.context.wait(*RETRY_PAUSE_S)
        oracle = self.context.world.oracle
        oracle.conversation_not_continued(self.program, self.last_turn, first_try_s, outcomes, clients.retain_s)
        return False

    @property
    def is_retained(self):
        """Whether the last turn was answered so recently that it has to be available."""
        acknowledged = self.program.turns.get(self.last_turn)
        return (
            acknowledged is not None and self.context.world.loop.now - acknowledged[2] < self.context.clients.retain_s
        )


class Conversations:
    """All conversations of a run; new ones branch off as sub-agents, which continue another program's turns."""

    def __init__(self, context, count):
        self._context = context
        self._all = []
        self._tasks = []
        for _ in range(count):
            self._start(context.clients.add_program(MAX_TOKENS, TURNS_IN_BUDGET))

    def _start(self, program, last_turn=None, owner=None):
        conversation = Conversation(self._context, program, last_turn, owner)
        self._all.append(conversation)
        self._tasks.append(asyncio.ensure_future(conversation.run()))

    async def branch_forever(self):
        """Let conversations start sub-agents now and then."""
        while True:
            await self._context.wait(*PAUSE_S)
            parent = self._context.rng.choice(self._all)
            is_due = self._context.rng.random() < SUB_AGENT_SHARE * len(self._all)
            if is_due and parent.last_turn is not None and len(self._all) < MAX_CONVERSATIONS:
                program = self._context.clients.add_program(MAX_TOKENS, TURNS_IN_BUDGET)
                program.turns.update(parent.program.turns)
                self._start(program, parent.last_turn, parent.owner)

    async def stop(self):
        """Let the turns in progress end; begin no others."""
        for conversation in self._all:
            conversation.is_stopped = True
        await asyncio.gather(*self._tasks)

    async def check_histories_on_disk(self):
        """Check that each last turn is on two stores together with its whole history; any one of three may be lost."""
        for conversation in self._all:
            if not conversation.is_retained:
                continue
            program, last_turn = conversation.owner, conversation.last_turn
            complete = [
                host.name
                for host in self._context.world.stores()
                if await _has_whole_history(host.disk, program.name, last_turn)
            ]
            if len(complete) < 2:
                self._context.world.oracle.report_violation(
                    "HISTORY", f"{program.name}: the history of {last_turn} is complete at {complete} only"
                )

    async def check_all_go_on(self):
        """Take another turn of each conversation."""
        for conversation in self._all:
            await conversation.take_turn()


async def _has_whole_history(disk, program, last_turn):
    previous = dict(await disk.query("SELECT turn, previous FROM turns WHERE program = ?", (program,)))
    turn = last_turn
    while turn in previous:
        turn = previous[turn]
    return turn is None


async def check_ended_conversations_are_deleted(context):
    """Check that the stores hold no turn once the retention of all turns has ended."""
    await asyncio.sleep(context.clients.retain_s + RETENTION_MARGIN_MS / 1000 + BACKGROUND_WRITE_S + PURGE_S)
    for host in context.world.stores():
        ((count,),) = await host.disk.query("SELECT count(*) FROM turns")
        if count:
            context.world.oracle.report_violation("DELETED", f"{host.name} still holds {count} turns")

"""Random faults of one machine at a time while senders write: no acknowledged write is lost, no budget is exceeded."""

import asyncio
import random

import pytest
from scripted.clock import run
from scripted.stores import World

from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs import ledger
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError
from dewpin.dataplane.programs.program_store import Turn

BUDGET = 900
MAX_TOKENS = 9
SENDERS = 3
FAULTS = 14


class Outcomes:
    """Outcomes reported to the senders."""

    def __init__(self):
        self.stored = []
        self.granted = {}
        self.unavailable = 0


async def send_turns(client, program, outcomes, stop, rng):
    """Run the programs of one sender: reserve, settle most reservations and abandon the others, append turns."""
    previous, step = None, 0
    while not stop.is_set():
        step += 1
        name = f"{program}.{step}"
        try:
            reservation = await client.reserve("shared", name, MAX_TOKENS, BUDGET, 0.5)
            outcomes.granted[name] = MAX_TOKENS
            if rng.random() < 0.8:
                used_tokens = rng.randrange(MAX_TOKENS + 1)
                outcomes.granted[name] = used_tokens
                client.settle(reservation, used_tokens)
        except BudgetExceededError:
            await asyncio.sleep(0.02)
        except StoreUnavailableError:
            outcomes.unavailable += 1
        try:
            await client.store_turn(Turn(name, program, previous, name.encode(), b";", 60.0), 0.5)
        except StoreUnavailableError:
            outcomes.unavailable += 1
            continue
        outcomes.stored.append((program, name, previous))
        previous = name


async def inject_fault(world, rng):
    """Inject a random fault into one machine for a while, then repair it."""
    name = rng.choice("abc")
    machine = world.machines[name]
    kind = rng.choice(["kill", "freeze", "lose_answers", "cut", "full_disk", "wipe"])
    duration_s = rng.uniform(0.02, 0.8)
    if kind == "kill":
        machine.up = False
        await asyncio.sleep(duration_s)
        machine.restart()
        await machine.store.load()
        machine.up = True
    elif kind == "freeze":
        machine.frozen = True
        await asyncio.sleep(duration_s)
        machine.frozen = False
    elif kind == "lose_answers":
        machine.loses_answers = True
        await asyncio.sleep(duration_s)
        machine.loses_answers = False
    elif kind == "cut":
        cut = (f"s{rng.randrange(SENDERS)}", name)
        world.cuts.add(cut)
        await asyncio.sleep(duration_s)
        world.cuts.discard(cut)
    elif kind == "full_disk":
        machine.disk.full = True
        await asyncio.sleep(duration_s)
        machine.disk.full = False
    else:
        await wipe(world, machine, duration_s)


async def wipe(world, machine, down_s):
    """Lose a disk, and change the view to the new incarnation as the system register does."""
    machine.up = False
    await asyncio.sleep(down_s)
    machine.start_empty()
    machine.up = True
    next_members = world.members("abc")
    changing = StoreView(world.view.epoch + 1, world.view.stable, next_members)
    world.announce_view(changing)
    await world.until(lambda: all(changing.epoch in one.synced for one in world.machines.values()))
    world.announce_view(StoreView(changing.epoch + 1, next_members))


@pytest.mark.parametrize("seed", range(16))
def test_single_faults_lose_nothing_and_exceed_no_budget(seed):
    async def scene():
        rng = random.Random(seed)
        world = World(delay_s=0.006)
        outcomes, stop = Outcomes(), asyncio.Event()
        clients = [world.client(f"s{number}", seed=seed * 10 + number) for number in range(SENDERS)]
        senders = [
            asyncio.ensure_future(send_turns(client, f"p{number}", outcomes, stop, random.Random(seed * 10 + number)))
            for number, client in enumerate(clients)
        ]
        for _ in range(FAULTS):
            await inject_fault(world, rng)
            await asyncio.sleep(rng.uniform(0.0, 0.2))
        stop.set()
        await asyncio.gather(*senders)
        for client in clients:
            await client.wait_until_settled()
            client.close()
        await check(world, outcomes, rng)

    run(scene())


async def check(world, outcomes, rng):
    """Check that all acknowledged writes are readable and within the budget with any one machine stopped."""
    world.machines[rng.choice("abc")].up = False
    reader = world.client("reader", seed=99)
    bodies = {None: b""}
    for program, name, previous in outcomes.stored:
        bodies[name] = bodies[previous] + name.encode() + b";"
    for program, name, _ in outcomes.stored[-40:] + outcomes.stored[::10]:
        assert (await reader.read_history(program, name, 2.0)).content == bodies[name]
    value = await reader.read_ledger("shared")
    assert sum(outcomes.granted.values()) <= ledger.committed_tokens(value) <= BUDGET
    assert len(outcomes.stored) > 20

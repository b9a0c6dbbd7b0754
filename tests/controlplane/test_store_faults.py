"""Random losses, one machine at a time, while senders write: nothing acknowledged is lost, no budget is passed."""

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
MOST = 9
SENDERS = 3
FAULTS = 14


class Tally:
    """What the senders were told."""

    def __init__(self):
        self.kept = []
        self.granted = {}
        self.unavailable = 0


async def send_turns(client, program, tally, stop, rng):
    """One sender's programs: reserve, now and then die with it or settle, append, go on."""
    previous, step = None, 0
    while not stop.is_set():
        step += 1
        name = f"{program}.{step}"
        try:
            held = await client.reserve("shared", name, MOST, BUDGET, 0.5)
            tally.granted[name] = MOST
            if rng.random() < 0.8:
                used = rng.randrange(MOST + 1)
                tally.granted[name] = used
                client.settle(held, used)
        except BudgetExceededError:
            await asyncio.sleep(0.02)
        except StoreUnavailableError:
            tally.unavailable += 1
        try:
            await client.store_turn(Turn(name, program, previous, name.encode(), b";", 60.0), 0.5)
        except StoreUnavailableError:
            tally.unavailable += 1
            continue
        tally.kept.append((program, name, previous))
        previous = name


async def one_fault(world, rng):
    """Harm one machine for a while, and put it right."""
    name = rng.choice("abc")
    machine = world.machines[name]
    kind = rng.choice(["kill", "freeze", "lose_answers", "cut", "full_disk", "wipe"])
    lasts_s = rng.uniform(0.02, 0.8)
    if kind == "kill":
        machine.up = False
        await asyncio.sleep(lasts_s)
        machine.restart()
        await machine.store.load()
        machine.up = True
    elif kind == "freeze":
        machine.frozen = True
        await asyncio.sleep(lasts_s)
        machine.frozen = False
    elif kind == "lose_answers":
        machine.loses_answers = True
        await asyncio.sleep(lasts_s)
        machine.loses_answers = False
    elif kind == "cut":
        cut = (f"s{rng.randrange(SENDERS)}", name)
        world.cuts.add(cut)
        await asyncio.sleep(lasts_s)
        world.cuts.discard(cut)
    elif kind == "full_disk":
        machine.disk.full = True
        await asyncio.sleep(lasts_s)
        machine.disk.full = False
    else:
        await wipe(world, machine, lasts_s)


async def wipe(world, machine, down_s):
    """Lose a disk, and lead the view to the new incarnation as the register's owner does."""
    machine.up = False
    await asyncio.sleep(down_s)
    machine.start_empty()
    machine.up = True
    following = world.members("abc")
    changing = StoreView(world.view.epoch + 1, world.view.stable, following)
    world.announce_view(changing)
    await world.until(lambda: all(changing.epoch in one.synced for one in world.machines.values()))
    world.announce_view(StoreView(changing.epoch + 1, following))


@pytest.mark.parametrize("seed", range(16))
def test_single_faults_lose_nothing_and_exceed_no_budget(seed):
    async def scene():
        rng = random.Random(seed)
        world = World(delay_s=0.006)
        tally, stop = Tally(), asyncio.Event()
        clients = [world.client(f"s{number}", seed=seed * 10 + number) for number in range(SENDERS)]
        senders = [
            asyncio.ensure_future(send_turns(client, f"p{number}", tally, stop, random.Random(seed * 10 + number)))
            for number, client in enumerate(clients)
        ]
        for _ in range(FAULTS):
            await one_fault(world, rng)
            await asyncio.sleep(rng.uniform(0.0, 0.2))
        stop.set()
        await asyncio.gather(*senders)
        for client in clients:
            await client.wait_until_settled()
            client.close()
        await check(world, tally, rng)

    run(scene())


async def check(world, tally, rng):
    """All that was told to the senders still holds, with any one machine gone."""
    world.machines[rng.choice("abc")].up = False
    reader = world.client("reader", seed=99)
    bodies = {None: b""}
    for program, name, previous in tally.kept:
        bodies[name] = bodies[previous] + name.encode() + b";"
    for program, name, _ in tally.kept[-40:] + tally.kept[::10]:
        assert await reader.read_history(program, name, 2.0) == bodies[name]
    value = await reader.read_ledger("shared")
    assert sum(tally.granted.values()) <= ledger.committed_tokens(value) <= BUDGET
    assert len(tally.kept) > 20

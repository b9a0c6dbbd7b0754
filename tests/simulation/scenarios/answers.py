"""Point 5: answers late, lost or broken off between our own processes, messages handled twice, slow and full disks."""

import asyncio

WORLD = {"stores": 4, "fronts": 3}
ROUNDS = 5


async def play(play):
    world = play.world
    play.operators.answers_lost = 0.2
    play.begin(play.operators.change_for_ever(1.5))
    play.begin(play.clients.programs_for_ever(0.6))
    play.begin(_resets(play))
    world.doubled = play.dice.choice((0.0, 0.05, 0.2))
    for _ in range(ROUNDS):
        await play.wait(0, 4)
        await play.dice.choice((_late, _lossy, _disk, _short_cuts, _kill, _clock))(play)


async def _resets(play):
    """Connections between our processes break at any moment."""
    while True:
        await play.wait(0, 4)
        play.world.reset_any_connection()


async def _late(play):
    """Answers come after their callers have given up."""
    links = sorted(play.world.links)
    links = play.dice.sample(links, len(links) // 3)
    play.world.slow_down(links, jitter_s=play.dice.uniform(0.1, 1.5))
    await play.wait(1, 6)
    play.world.speed_up(links)


async def _lossy(play):
    links = sorted(play.world.links)
    links = play.dice.sample(links, len(links) // 2)
    play.world.slow_down(links, loss=play.dice.choice((0.02, 0.2)))
    await play.wait(1, 6)
    play.world.speed_up(links)


async def _disk(play):
    """A disk is slow, full or silent for a while."""
    host = play.dice.choice(play.world.stores())
    play.world.oracle.slowed(host.ip, True)
    kind = play.dice.choice(("slow", "full", "silent"))
    play.world.note(f"disk {kind}", host)
    if kind == "slow":
        host.disk.slow_s = play.dice.uniform(0.05, 1.5)
    elif kind == "full":
        host.disk.full = True
    else:
        host.disk.silent = True
    await play.wait(0.5, 8)
    host.disk.slow_s, host.disk.full, host.disk.silent = 0.0, False, False
    play.world.oracle.slowed(host.ip, False)


async def _short_cuts(play):
    """Single ways are cut for moments."""
    for _ in range(6):
        one, other = play.dice.sample(list(play.world.hosts), 2)
        pairs = play.world.cut([one], [other])
        await play.wait(0.05, 1.5)
        play.world.join(pairs)


async def _kill(play):
    host = play.dice.choice([*play.world.stores(), *play.world.fronts()])
    play.world.kill(host, play.dice.uniform(0.1, 1.0))
    await asyncio.sleep(play.world.bounds["catch_up_s"])


async def _clock(play):
    host = play.dice.choice(list(play.world.hosts.values()))
    play.world.step_clock(host, play.dice.choice((-4000, -500, 700, 4000)))

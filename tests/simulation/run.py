"""One simulated run: a scenario under a seed, from the first start to the oracle's word."""

import asyncio
import gc
import importlib
import logging
import pkgutil
import sys
import warnings
from dataclasses import dataclass, field

from . import scenarios
from .clients import Clients
from .operators import Operators
from .recovery import read_back, take_an_order
from .world import World

LONGEST_S = 900.0
START_S = 12.0


@dataclass
class Result:
    """How a run ended. `broken`: what the oracle found, and errors that the programs logged."""

    scenario: str
    seed: int
    broken: list = field(default_factory=list)
    digest: str = ""
    simulated_s: float = 0.0
    figures: dict = field(default_factory=dict)
    log: list = field(default_factory=list)


class Play:
    """What a scenario works with."""

    def __init__(self, world):
        self.world = world
        self.dice = world.dice
        self.operators = Operators(world)
        self.clients = Clients(world)
        self.tasks = []

    def begin(self, work):
        """Run something beside the scenario, until the trouble ends."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def wait(self, least_s, most_s):
        await asyncio.sleep(self.dice.uniform(least_s, most_s))

    def end_tasks(self):
        for task in self.tasks:
            task.cancel()


class _ErrorsLogged(logging.Handler):
    """Takes the errors that the programs log: an exception that nobody foresaw is a fault of its own."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.lines = []

    def emit(self, record):
        why = repr(record.exc_info[1]) if record.exc_info else ""
        self.lines.append(f"LOGGED {record.getMessage()} {getattr(record, 'step', '')} {why}")


def names():
    """The names of all scenarios."""
    return sorted(module.name for module in pkgutil.iter_modules(scenarios.__path__))


def run(scenario, seed):
    """Run a scenario under a seed. Nothing but these two and the code decides what happens."""
    module = importlib.import_module(f"{scenarios.__name__}.{scenario}")
    sys.unraisablehook = lambda _: None  # of coroutines that a killed machine never ends
    warnings.filterwarnings("ignore", "coroutine .* was never awaited")
    errors = _ErrorsLogged()
    logging.getLogger().addHandler(errors)
    logging.disable(logging.WARNING)
    world = World(seed, **_world_of(module, seed))
    result = Result(scenario, seed)
    try:
        world.loop.run(_whole(world, module), LONGEST_S)
    except Exception as error:
        result.broken.append(f"RUN {error!r}")
    finally:
        logging.disable(logging.NOTSET)
        logging.getLogger().removeHandler(errors)
    result.broken += world.oracle.broken + errors.lines + [f"LOOP {fault}" for fault in world.loop.errors]
    result.digest, result.simulated_s = world.loop.digest(), world.loop.now - 1000.0
    result.figures, result.log = dict(world.oracle.figures), world.log
    del world
    gc.collect()
    return result


def _world_of(module, seed):
    """What a scenario says of its machines: the same for all seeds, or by the seed."""
    return module.world_of(seed) if hasattr(module, "world_of") else module.WORLD


async def _whole(world, module):
    play = Play(world)
    world.boot_all()
    await _first_configuration(play)
    play.begin(play.clients.request_for_ever())
    await module.play(play)
    await _end(play)


async def _first_configuration(play):
    world, operators = play.world, play.operators
    await asyncio.sleep(1.0)
    await operators.put(operators.new_order(0), tries_s=START_S)
    while not all(front.is_ready for front in world.fronts()):
        if world.loop.now > 1000 + START_S:
            world.oracle.breaks("START", "not all fronts are ready in time")
            return
        await asyncio.sleep(0.1)


async def _end(play):
    """End all trouble, and look whether everything that has to be there is."""
    world, operators, oracle = play.world, play.operators, play.world.oracle
    operators.answers_lost = 0.0
    world.heal()
    for task in play.tasks[1:]:
        task.cancel()
    await asyncio.sleep(world.bounds["contact_ms"] / 1000)
    await take_an_order(play)
    await asyncio.sleep(world.bounds["recovery_s"] - world.bounds["contact_ms"] / 1000)
    await read_back(play)
    play.end_tasks()
    oracle.judge_served()

"""One simulated run: a scenario under a seed, from the first start to the oracle's checks."""

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
from .recovery import check_change_latency, check_recovered_state
from .world import World

MAX_RUN_S = 900.0
STARTUP_TIMEOUT_S = 12.0


@dataclass
class Result:
    """The result of a run. `violations`: those found by the oracle, and errors that the programs logged."""

    scenario: str
    seed: int
    violations: list = field(default_factory=list)
    digest: str = ""
    simulated_s: float = 0.0
    statistics: dict = field(default_factory=dict)
    log: list = field(default_factory=list)


class ScenarioContext:
    """The world, operators and clients of a run, passed to its scenario."""

    def __init__(self, world):
        self.world = world
        self.rng = world.rng
        self.operators = Operators(world)
        self.clients = Clients(world)
        self.tasks = []

    def start(self, work):
        """Run a coroutine concurrently with the scenario, until the faults end."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def wait(self, min_s, max_s):
        await asyncio.sleep(self.rng.uniform(min_s, max_s))

    def cancel_tasks(self):
        for task in self.tasks:
            task.cancel()


class _ErrorCollector(logging.Handler):
    """Collects the errors that the programs log: an unexpected exception counts as a violation."""

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
    """Run a scenario under a seed. The run depends on these two and the code alone."""
    module = importlib.import_module(f"{scenarios.__name__}.{scenario}")
    sys.unraisablehook = lambda _: None  # raised by coroutines of killed machines, which never complete
    warnings.filterwarnings("ignore", "coroutine .* was never awaited")
    errors = _ErrorCollector()
    logging.getLogger().addHandler(errors)
    logging.disable(logging.WARNING)
    world = World(seed, **_world_options(module, seed))
    result = Result(scenario, seed)
    try:
        world.loop.run(_run_world(world, module), MAX_RUN_S)
    except Exception as error:
        result.violations.append(f"RUN {error!r}")
    finally:
        logging.disable(logging.NOTSET)
        logging.getLogger().removeHandler(errors)
    result.violations += world.oracle.violations + errors.lines + [f"LOOP {fault}" for fault in world.loop.errors]
    result.digest, result.simulated_s = world.loop.digest(), world.loop.now - 1000.0
    result.statistics, result.log = dict(world.oracle.statistics), world.log
    del world
    gc.collect()
    return result


def _world_options(module, seed):
    """The arguments of `World` that a scenario defines, for all seeds or by seed."""
    return module.world_options(seed) if hasattr(module, "world_options") else module.WORLD


async def _run_world(world, module):
    context = ScenarioContext(world)
    world.boot_all()
    await _first_configuration(context)
    context.start(context.clients.request_forever())
    await module.run_scenario(context)
    await _finish(context)


async def _first_configuration(context):
    world, operators = context.world, context.operators
    await asyncio.sleep(1.0)
    await operators.put(operators.new_change(0), retry_for_s=STARTUP_TIMEOUT_S)
    while not all(front.is_ready for front in world.fronts()):
        if world.loop.now > 1000 + STARTUP_TIMEOUT_S:
            world.oracle.report_violation("START", "some fronts did not become ready in time")
            return
        await asyncio.sleep(0.1)


async def _finish(context):
    """End all faults and check that everything that must survive is available."""
    world, operators, oracle = context.world, context.operators, context.world.oracle
    operators.reply_loss = 0.0
    world.heal()
    for task in context.tasks[1:]:
        task.cancel()
    await asyncio.sleep(world.bounds["contact_ms"] / 1000)
    await check_change_latency(context)
    await asyncio.sleep(world.bounds["recovery_s"] - world.bounds["contact_ms"] / 1000)
    await check_recovered_state(context)
    context.cancel_tasks()
    oracle.check_served_requests()

"""The event loop of a simulated run: asyncio's calls for servers and connections lead to the simulated network."""

import asyncio
import itertools

from dewpin.lab.event_loop import SimulatedEventLoop
from dewpin.lab.machine import CURRENT_MACHINE
from dewpin.lab.network import SimulatedNetwork

USER_TIMEOUT_S = 2.0
"""What the programs set as TCP_USER_TIMEOUT (`dewpin/cluster/rpc`)."""

_numbers = itertools.count()


class NumberedTask(asyncio.Task):
    """A task whose hash is a number and not its place in memory, so that sets of tasks have one order in every run."""

    def __init__(self, work, *, loop, **options):
        self.number = next(_numbers)
        super().__init__(work, loop=loop, **options)
        self._log_destroy_pending = False  # what a killed machine had begun is never finished

    def __hash__(self):
        return self.number

    def __eq__(self, other):
        return self is other


class SimulatedLoop(SimulatedEventLoop):
    """A SimulatedEventLoop with a network; a connection starts at the address of the machine that asks for it."""

    def __init__(self, seed):
        super().__init__(seed, start_time=1000.0)
        self.network = SimulatedNetwork(self)
        self.network.user_timeout_s = USER_TIMEOUT_S
        self.set_task_factory(lambda loop, work, **options: NumberedTask(work, loop=loop, **options))

    async def create_server(self, factory, host, port, **_):
        return self.network.listen((host, port), factory)

    async def create_connection(self, factory, host, port, **_):
        return await self.network.connect((host, port), factory, host=CURRENT_MACHINE.get().name)

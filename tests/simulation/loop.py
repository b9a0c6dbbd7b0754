"""The event loop of a simulated run: asyncio's server and connection calls use the simulated network."""

import asyncio
import itertools

from dewpin.lab.event_loop import SimulatedEventLoop
from dewpin.lab.machine import CURRENT_MACHINE
from dewpin.lab.network import SimulatedNetwork

USER_TIMEOUT_S = 2.0
"""The TCP_USER_TIMEOUT that the programs set (`dewpin/cluster/rpc`)."""

_task_numbers = itertools.count()


class NumberedTask(asyncio.Task):
    """A task whose hash is a sequence number, not its memory address: sets of tasks iterate in the same order in every
    run."""

    def __init__(self, work, *, loop, **options):
        self.number = next(_task_numbers)
        super().__init__(work, loop=loop, **options)
        self._log_destroy_pending = False  # tasks of a killed machine never complete

    def __hash__(self):
        return self.number

    def __eq__(self, other):
        return self is other


class SimulatedLoop(SimulatedEventLoop):
    """A SimulatedEventLoop with a network; a connection's source address is that of the machine that opens it."""

    def __init__(self, seed):
        super().__init__(seed, start_time=1000.0)
        self.network = SimulatedNetwork(self)
        self.network.user_timeout_s = USER_TIMEOUT_S
        self.set_task_factory(lambda loop, work, **options: NumberedTask(work, loop=loop, **options))

    async def create_server(self, factory, host, port, **_):
        return self.network.listen((host, port), factory)

    async def create_connection(self, factory, host, port, **_):
        return await self.network.connect((host, port), factory, host=CURRENT_MACHINE.get().name)

"""The machines of a simulated run: what `dewpin.controlplane` and `dewpin.dataplane` start, on a simulated loop."""

import asyncio
import random
from contextvars import Context

from dewpin.cluster.rpc import RpcClient, RpcServer, split_address
from dewpin.cluster.settings import parse_settings
from dewpin.controlplane.__main__ import LEAVE_NOTICE_S
from dewpin.controlplane.control_server import ControlServer
from dewpin.controlplane.local_store import LocalStore
from dewpin.controlplane.operator_api import OperatorApi
from dewpin.dataplane.cluster_state_updater import ClusterStateUpdater
from dewpin.dataplane.membership import sender_readiness
from dewpin.dataplane.membership.cluster_agent import ClusterAgent
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.programs.history_cache import HistoryCache
from dewpin.dataplane.programs.store_client import StoreClient
from dewpin.lab.machine import Machine

from .disk import Disk
from .operator_calls import answer_of
from .release_messages import EarlierReleaseClient, earlier_handlers

FIRST_PORT, LAST_PORT = 7380, 7395
DAY_BEGAN_MS = 1_790_000_000_000
MOST_DRIFT = 1e-4


class Host:
    """A machine: its place, and the process that runs on it or none. `life` counts its processes.

    `is_earlier_release`: its next process sends and reads the messages of an earlier release.
    """

    kind = ""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.machine = None
        self.life = 0
        self.day_step_ms = 0
        self.powered = True
        self.removed = False
        self.is_earlier_release = False
        self.first_started_s = self.removed_s = float("inf")
        self.boots = 0

    @property
    def runs(self):
        return self.machine is not None and self.machine.alive

    @property
    def serves(self):
        """Whether the process runs now, neither ended nor frozen."""
        return self.runs and not self.machine.paused

    def was_there(self, now_s):
        """Whether the machine had been started and was not yet taken away at a time."""
        return self.first_started_s <= now_s < self.removed_s

    def time_of_day_ms(self):
        return int(DAY_BEGAN_MS + self.world.loop.now * 1000 + self.day_step_ms)

    def random(self, purpose):
        return random.Random(f"{self.world.seed}/{self.name}/{self.life}/{purpose}")

    def client(self):
        """The client of a process that starts now."""
        return EarlierReleaseClient() if self.is_earlier_release else RpcClient()

    def handlers(self, handlers):
        """What a process that starts now does with messages."""
        return self.world.disturbed(earlier_handlers(handlers) if self.is_earlier_release else handlers)

    def boot(self, bootstrap=False):
        """Start the process."""
        self.first_started_s = min(self.first_started_s, self.world.loop.now)
        self.life += 1
        rate = 1.0 + MOST_DRIFT * self.world.dice.uniform(-1, 1)
        self.machine = Machine(self.world.loop, self.ip, rate)
        self.machine.start(self._run(bootstrap))

    def settings(self, bootstrap):
        settings = {
            "node_name": self.name,
            "serves": list(self.world.serves[self.kind]),
            "ip": self.ip,
            "zone": self.zone,
            "region": "west",
            "port_range": [FIRST_PORT, LAST_PORT],
            "seeds": [f"{seed}:8144" for seed in self.world.seeds()],
            "bootstrap": bootstrap,
            "listen": {name: f"{self.ip}:{port}" for name, port in self.world.listens[self.kind].items()},
            "fault_tolerance": {"machines": self.world.losses},
            "bounds": self.world.bounds,
            "cloud": {"address": "10.200.0.100:8142", "rate_per_s": 44.0},
        }
        if self.kind == "store":
            settings["data_dir"] = "/unused"
        return parse_settings(settings)

    def stop(self):
        """As SIGTERM: the process ends by itself."""
        self.machine.start(self._stop())

    async def _stop(self):
        await self._wind_up()
        # as the world's own work: what follows must not end with this process
        self.world.loop.call_soon(self.world.process_ended, self, self.life, context=Context())

    async def _run(self, bootstrap):
        raise NotImplementedError

    async def _wind_up(self):
        raise NotImplementedError


class StoreHost(Host):
    """A machine that runs `dewpin.controlplane`."""

    kind = "store"

    def __init__(self, world, name, ip, zone):
        super().__init__(world, name, ip, zone)
        self.disk = None
        self.control_server = None
        self.api = None
        self.put_in_empty_disk()

    def put_in_empty_disk(self):
        self.disk = Disk(self.world.loop, f"{self.world.dice.getrandbits(64):016x}")

    async def _run(self, bootstrap):
        self.control_server = self.api = None
        settings, loop = self.settings(bootstrap), self.world.loop
        client = self.client()
        control_server = ControlServer(
            settings,
            self.disk,
            client,
            self.random("control_server"),
            clock=loop.time,
            platform=self.world.platform(self),
        )
        server = RpcServer(control_server.handlers)
        on_synced = control_server.record_synced_epoch
        store = LocalStore(settings, self.disk, client, on_synced, self.time_of_day_ms)
        await store.start()
        control_server.attach_store(store)
        server.handlers.update(store.handlers)
        server.handlers = self.handlers(server.handlers)
        await control_server.load()
        await server.start(*split_address(control_server.address))
        control_server.start()
        self.control_server, self.server = control_server, server
        self.api = OperatorApi(control_server.register, loop, settings.fault_tolerance.replica_count)

    async def call_operator_api(self, make_call):
        """The answer of a call of the operator; None where the process doesn't take calls yet."""
        return None if self.api is None else await answer_of(lambda: make_call(self.api))

    async def _wind_up(self):
        if self.control_server is not None:
            self.control_server.leave()
            await asyncio.sleep(LEAVE_NOTICE_S)
            await self.control_server.stop()
            await self.server.stop()


class FrontHost(Host):
    """A machine that runs `dewpin.dataplane`, but for its servers of HTTP."""

    kind = "front"

    def __init__(self, world, name, ip, zone):
        super().__init__(world, name, ip, zone)
        self.agent = None
        self.state = None
        self.store_client = None

    async def _run(self, bootstrap):
        self.agent = self.state = self.store_client = None
        settings, loop = self.settings(bootstrap), self.world.loop
        client = self.client()
        state = ClusterState()
        store_client = StoreClient(
            client,
            settings.fault_tolerance.replica_count,
            self.random("stores"),
            HistoryCache(clock_s=loop.time),
            f"{self.random('proposer').getrandbits(48):012x}",
            self.time_of_day_ms,
        )
        updater = ClusterStateUpdater(state, store_client.adopt)
        agent = ClusterAgent(
            settings,
            client,
            self.random("agent"),
            updater.update_system_state,
            updater.update_receivers,
            clock=loop.time,
            platform=self.world.platform(self),
            on_sender_count=updater.update_sender_count,
        )
        server = RpcServer(self.handlers(agent.handlers))
        await server.start(*split_address(agent.address))
        agent.start()
        state.is_cut_off = lambda: not agent.has_control_plane_contact
        state.is_current = agent.is_state_current
        self.agent, self.state, self.store_client = agent, state, store_client

    async def _wind_up(self):
        if self.agent is not None:
            await asyncio.gather(self.agent.stop(), self.store_client.wait_until_settled())

    @property
    def is_ready(self):
        return self.serves and self.agent is not None and sender_readiness.is_ready(self.state, self.agent)

    def generation(self):
        """The configuration that a request meets now: its number and a mark of its body; None before there is one."""
        configuration = self.state.configuration if self.state is not None else None
        if configuration is None:
            return None
        return configuration.generation, configuration.raw["routes"][0]["path_prefix"]

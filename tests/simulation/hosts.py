"""The machines of a simulated run: components of `dewpin.controlplane` and `dewpin.dataplane` on a simulated loop."""

import asyncio
import random
from contextvars import Context

from dewpin.cluster.rpc import RpcClient, RpcServer, split_address
from dewpin.cluster.settings import parse_settings
from dewpin.controlplane.control_process import LEAVE_NOTICE_S
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
from .operator_calls import run_operator_call
from .release_messages import EarlierReleaseClient, earlier_release_handlers

FIRST_PORT, LAST_PORT = 7380, 7395
WALL_CLOCK_START_MS = 1_790_000_000_000
MAX_CLOCK_DRIFT = 1e-4


class Host:
    """A machine: its address and zone, and its process, if one runs. `process_number` counts its processes.

    `is_earlier_release`: its next process sends and reads the messages of an earlier release.
    """

    kind = ""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.machine = None
        self.process_number = 0
        self.wall_clock_offset_ms = 0
        self.has_power = True
        self.removed = False
        self.is_earlier_release = False
        self.first_started_s = self.removed_s = float("inf")
        self.scheduled_boots = 0

    @property
    def is_running(self):
        return self.machine is not None and self.machine.alive

    @property
    def is_responsive(self):
        """Whether the process runs and is not frozen."""
        return self.is_running and not self.machine.paused

    def existed_at(self, now_s):
        """Whether the machine had been started and not yet removed at a time."""
        return self.first_started_s <= now_s < self.removed_s

    def wall_clock_ms(self):
        return int(WALL_CLOCK_START_MS + self.world.loop.now * 1000 + self.wall_clock_offset_ms)

    def random(self, purpose):
        return random.Random(f"{self.world.seed}/{self.name}/{self.process_number}/{purpose}")

    def client(self):
        """The RPC client of a process that starts now."""
        return EarlierReleaseClient() if self.is_earlier_release else RpcClient()

    def handlers(self, handlers):
        """The RPC handlers of a process that starts now."""
        return self.world.with_duplicates(earlier_release_handlers(handlers) if self.is_earlier_release else handlers)

    def boot(self, bootstrap=False):
        """Start the process."""
        self.first_started_s = min(self.first_started_s, self.world.loop.now)
        self.process_number += 1
        rate = 1.0 + MAX_CLOCK_DRIFT * self.world.rng.uniform(-1, 1)
        self.machine = Machine(self.world.loop, self.ip, rate)
        self.machine.start(self._run(bootstrap))

    def settings(self, bootstrap):
        settings = {
            "node_name": self.name,
            "serves": list(self.world.roles[self.kind]),
            "ip": self.ip,
            "zone": self.zone,
            "region": "west",
            "port_range": [FIRST_PORT, LAST_PORT],
            "seeds": [f"{seed}:8144" for seed in self.world.seeds()],
            "bootstrap": bootstrap,
            "listen": {name: f"{self.ip}:{port}" for name, port in self.world.listen_ports[self.kind].items()},
            "fault_tolerance": {"machines": self.world.tolerated_losses},
            "bounds": self.world.bounds,
            "cloud": {"address": "10.200.0.100:8142", "rate_per_s": 44.0},
        }
        if self.kind == "store":
            settings["data_dir"] = "/unused"
        return parse_settings(settings)

    def stop(self):
        """Stop the process as SIGTERM does: it shuts down by itself."""
        self.machine.start(self._stop())

    async def _stop(self):
        await self._shut_down()
        # in the world's own context: the follow-up work must not be cancelled with this process
        self.world.loop.call_soon(self.world.process_ended, self, self.process_number, context=Context())

    async def _run(self, bootstrap):
        raise NotImplementedError

    async def _shut_down(self):
        raise NotImplementedError


class StoreHost(Host):
    """A machine that runs `dewpin.controlplane`."""

    kind = "store"

    def __init__(self, world, name, ip, zone):
        super().__init__(world, name, ip, zone)
        self.disk = None
        self.control_server = None
        self.api = None
        self.replace_disk()

    def replace_disk(self):
        self.disk = Disk(self.world.loop, f"{self.world.rng.getrandbits(64):016x}")

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
        store = LocalStore(settings, self.disk, client, on_synced, self.wall_clock_ms)
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
        """The response to an operator call; None if the process does not accept calls yet."""
        return None if self.api is None else await run_operator_call(lambda: make_call(self.api))

    async def _shut_down(self):
        if self.control_server is not None:
            self.control_server.leave()
            await asyncio.sleep(LEAVE_NOTICE_S)
            await self.control_server.stop()
            await self.server.stop()


class FrontHost(Host):
    """A machine that runs `dewpin.dataplane` without its HTTP servers."""

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
            self.wall_clock_ms,
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

    async def _shut_down(self):
        if self.agent is not None:
            await asyncio.gather(self.agent.stop(), self.store_client.wait_until_settled())

    @property
    def is_ready(self):
        return self.is_responsive and self.agent is not None and sender_readiness.is_ready(self.state, self.agent)

    def served_configuration(self):
        """The configuration that serves a request now: its generation and body id; None before there is one."""
        configuration = self.state.configuration if self.state is not None else None
        if configuration is None:
            return None
        return configuration.generation, configuration.raw["routes"][0]["path_prefix"]

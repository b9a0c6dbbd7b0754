"""The world of a simulated run: machines, the links between them, and the faults injected into both.

Every fault is reported to the oracle with its begin and end, since the rules bind only machines in contact.
"""

import asyncio
import copy
import random

from dewpin.cluster.platform_list import PlatformUnavailableError
from dewpin.cluster.receivers import Receiver
from dewpin.lab.link_conditions import LinkConditions

from .hosts import FrontHost, StoreHost
from .loop import SimulatedLoop
from .oracle import Oracle

ZONES = ("hall-a", "hall-b", "hall-c")
SAME_ZONE_S, OTHER_ZONE_S, CLIENT_S = 0.0003, 0.0014, 0.003
RETRANSMIT_S = 0.2
RESTART_DELAY_S = 0.4
SEED_LAG_S = 3.0
"""The operator's list of machines, from which settings files take their seeds, is outdated by this time."""
MAX_SEEDS = 3
OPERATOR_IP = "10.255.0.1"
PLATFORM_IP = "10.200.0.100"
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4.4,
    "drain_ms": 3000,
    "config_apply_ms": 2000,
    "downgrade_ms": 250,
    "skew_ms": 5000,
    "recovery_s": 12,
    "settle_ms": 1000,
}


class Uplink:
    """A machine's outgoing network link, shared by all its connections. `rate_mbit`: None for no limit."""

    __slots__ = ("rate_mbit", "_free_s")

    def __init__(self):
        self.rate_mbit = None
        self._free_s = 0.0

    def departure_s(self, now_s, size):
        """The time at which `size` bytes written now have been sent."""
        if self.rate_mbit is None:
            return now_s
        self._free_s = max(now_s, self._free_s) + size * 8 / (self.rate_mbit * 1e6)
        return self._free_s


class Link(LinkConditions):
    """One direction between two machines. `loss`: share of deliveries that are retransmitted; `jitter_s`: maximum
    additional delay; `uplink`: that of the sending machine."""

    __slots__ = ("base_s", "loss", "jitter_s", "rng", "uplink")

    def __init__(self, base_s, rng, uplink):
        super().__init__()
        self.base_s, self.loss, self.jitter_s, self.rng, self.uplink = base_s, 0.0, 0.0, rng, uplink

    def arrival_s(self, now_s, size):
        return self.uplink.departure_s(now_s, size) + self.latency_s

    @property
    def latency_s(self):
        latency_s = self.base_s * (1 + 0.2 * self.rng.random()) + self.jitter_s * self.rng.random()
        retransmit_s = RETRANSMIT_S
        while self.loss and self.rng.random() < self.loss and retransmit_s < 4:
            latency_s += retransmit_s
            retransmit_s *= 2
        return latency_s

    @latency_s.setter
    def latency_s(self, value):
        pass


class PlatformAccess:
    """One machine's access to the platform's list."""

    def __init__(self, world, host):
        self.world, self.host = world, host

    async def read(self, address):
        await asyncio.sleep(0.005)
        if not self.world.reaches(self.host.ip, PLATFORM_IP):
            await asyncio.sleep(0.8)
            raise PlatformUnavailableError("cut off")
        return list(self.world.receivers)


class World:
    """All machines, links and faults of a run. `roles` and `listen_ports`: settings by kind of machine;
    `duplicate_share`: share of messages that are handled a second time, later."""

    roles = {"store": ("store", "control"), "front": ("front",)}
    listen_ports = {"store": {"control": 8144}, "front": {"front": 8149, "ready": 8141}}

    def __init__(self, seed, stores=3, fronts=3, tolerated_losses=1):
        self.seed, self.tolerated_losses, self.bounds = seed, tolerated_losses, BOUNDS
        self.loop = SimulatedLoop(seed)
        self.rng = random.Random(f"world/{seed}")
        self.oracle = Oracle(BOUNDS, lambda: self.loop.now)
        self.network = self.loop.network
        self.network.link_between = self._link_between
        self.links = {}
        self.uplinks = {}
        self.hosts = {}
        self.zone_of = {}
        self.duplicate_share = 0.0
        self.receivers = [Receiver(f"i-{n}", "lookup", f"10.9.0.{n}:80", ZONES[n % 3], 4) for n in range(3)]
        self.log = []
        for _ in range(stores):
            self.add(StoreHost)
        for _ in range(fronts):
            self.add(FrontHost)
        self._first_seeds = [host.ip for host in self.stores()][:MAX_SEEDS]

    # Machines

    def add(self, kind, name=None, zone=None):
        """Add a machine without a process."""
        number = sum(isinstance(host, kind) for host in self.hosts.values()) + 1
        name, zone = name or f"{kind.kind}-{number}", zone or ZONES[number % 3]
        ip = f"10.{1 if kind is StoreHost else 2}.0.{number}"
        self.zone_of[ip] = zone
        host = self.hosts[ip] = kind(self, name, ip, zone)
        return host

    def boot_all(self):
        """Start all machines for the first time, in random order within 0.3 s."""
        for host in self.hosts.values():
            self.loop.call_at(self.loop.now + 0.3 * self.rng.random(), host.boot, True)
            self.oracle.machine_started(host.ip, host.kind)

    def stores(self):
        return [host for host in self.hosts.values() if host.kind == "store" and not host.removed]

    def seeds(self):
        """The seed addresses in a settings file written now: from the operator's list, which lags by SEED_LAG_S."""
        listed_s = self.loop.now - SEED_LAG_S
        listed = [host.ip for host in self.hosts.values() if host.kind == "store" and host.existed_at(listed_s)]
        return listed[:MAX_SEEDS] or self._first_seeds

    def fronts(self):
        return [host for host in self.hosts.values() if host.kind == "front" and not host.removed]

    def record_event(self, event, *subjects):
        """Add an event to the trace and to the digest."""
        names = " ".join(host.name if hasattr(host, "name") else str(host) for host in subjects)
        self.log.append(f"{self.loop.now:9.3f} {event} {names}")
        self.loop.record(event, names)

    def platform(self, host):
        return PlatformAccess(self, host)

    # Links

    def _link_between(self, source, target):
        return self.link(source[0], target[0])

    def link(self, source, target):
        found = self.links.get((source, target))
        if found is None:
            uplink = self.uplinks.setdefault(source, Uplink())
            found = self.links[source, target] = Link(self._base_s(source, target), self.loop.random, uplink)
        return found

    def _base_s(self, source, target):
        if source not in self.zone_of or target not in self.zone_of:
            return CLIENT_S
        return SAME_ZONE_S if self.zone_of[source] == self.zone_of[target] else OTHER_ZONE_S

    def reaches(self, source, target):
        return not self.link(source, target).is_cut

    def cut_links(self, sources, targets):
        """Cut the links from all `sources` to all `targets`. Returns the cut pairs, for `restore_links`."""
        pairs = [(one, other) for one in sources for other in targets if one != other and self.reaches(one, other)]
        for pair in pairs:
            self.link(*pair).is_cut = True
            self.oracle.link_cut(*pair)
        self.record_event("cut", *[f"{one}>{other}" for one, other in pairs])
        return pairs

    def restore_links(self, pairs):
        for pair in pairs:
            if self.link(*pair).is_cut and self._may_restore(pair):
                self.link(*pair).is_cut = False
                self.oracle.link_restored(*pair)
        self.record_event("join", *[f"{one}>{other}" for one, other in pairs if self.reaches(one, other)])
        self.network.deliver_held()

    def _may_restore(self, pair):
        return all(self.hosts[ip].has_power and not self.hosts[ip].removed for ip in pair if ip in self.hosts)

    def impair_links(self, links, loss=0.0, jitter_s=0.0):
        """Add loss or jitter to links, given as pairs of addresses."""
        for pair in links:
            link = self.link(*pair)
            link.loss, link.jitter_s = loss, jitter_s
            for ip in pair:
                self.oracle.set_slow(ip, True)
        self.record_event(f"slow links {loss:.2f} {jitter_s:.2f}", *[f"{one}>{other}" for one, other in links])

    def clear_impairments(self, links):
        """Remove loss and jitter from links, given as pairs of addresses."""
        for pair in links:
            link = self.link(*pair)
            link.loss = link.jitter_s = 0.0
            for ip in pair:
                self.oracle.set_slow(ip, False)

    def limit_rate(self, host, rate_mbit):
        """Limit the rate of a machine's uplink; None removes the limit."""
        self.uplinks.setdefault(host.ip, Uplink()).rate_mbit = rate_mbit
        self.record_event(f"link of {rate_mbit} Mbit/s", host)

    def reset_random_connection(self):
        sides = sorted(self.network.transports, key=lambda side: side.number)
        if sides:
            side = self.rng.choice(sides)
            for ip in (side.local[0], side.remote[0]):
                self.oracle.fault_began(ip, "reset")
                self.oracle.fault_ended(ip, "reset")
            self.network.reset_connection(side)

    def all_addresses(self):
        """The addresses of all machines, the operators and the platform."""
        return [*self.hosts, OPERATOR_IP, PLATFORM_IP]

    def with_duplicates(self, handlers):
        """Handlers that handle some messages a second time, later; the second reply is dropped."""
        return {kind: self._duplicating(handler) for kind, handler in handlers.items()}

    def _duplicating(self, handler):
        async def handle(message):
            if self.duplicate_share and self.loop.random.random() < self.duplicate_share:
                duplicate = asyncio.ensure_future(self._handle_again(handler, copy.deepcopy(message)))
                duplicate.add_done_callback(lambda done: done.cancelled() or done.exception())
            return await handler(message)

        return handle

    async def _handle_again(self, handler, message):
        await asyncio.sleep(2.0 * self.loop.random.random() ** 2)
        await handler(message)

    # Processes

    def kill(self, host, downtime_s=RESTART_DELAY_S):
        """Kill the process as SIGKILL does; it is restarted after `downtime_s` unless that is None."""
        self.record_event("kill", host)
        self._end_process(host)
        if downtime_s is not None:
            self._boot_later(host, downtime_s)

    def power_off(self, host, downtime_s):
        """Cut the machine's power: unsynced data is lost, and peers get no notification."""
        self.record_event("power off", host)
        host.has_power = False
        others = [ip for ip in self.all_addresses() if ip != host.ip]
        self.cut_links([host.ip], others)
        self.cut_links(others, [host.ip])
        self._end_process(host)
        if downtime_s is not None:
            self._boot_later(host, downtime_s)

    def wipe(self, host, downtime_s):
        """Cut the machine's power and replace its disk by an empty one."""
        self.power_off(host, downtime_s)
        self.record_event("wipe", host)
        host.replace_disk()

    def stop(self, host, downtime_s):
        """Stop the process as planned; it is restarted after `downtime_s` unless that is None."""
        self.record_event("stop", host)
        self.oracle.fault_began(host.ip, "stop")
        host.planned_downtime_s = downtime_s
        host.stop()

    def process_ended(self, host, process_number):
        """Handle the end of a process after a planned stop."""
        if host.is_running and host.process_number == process_number:
            self._end_process(host)
            if host.planned_downtime_s is not None:
                self._boot_later(host, host.planned_downtime_s)

    def remove(self, host):
        """Remove a machine permanently."""
        self.power_off(host, None)
        host.removed = True
        host.removed_s = self.loop.now
        self.oracle.machine_removed(host.ip)

    def freeze(self, host):
        if host.is_responsive:
            self.record_event("freeze", host)
            self.oracle.fault_began(host.ip, "frozen")
            host.machine.pause()

    def unfreeze(self, host):
        if host.is_running and host.machine.paused:
            self.record_event("thaw", host)
            host.machine.resume()
            self.oracle.fault_ended(host.ip, "frozen")

    def boot(self, host):
        """Start a machine's process on its current disk."""
        if host.removed or host.is_running:
            return
        self.record_event("boot", host)
        if not host.has_power:
            host.has_power = True
            others = [ip for ip in self.all_addresses() if ip != host.ip]
            self.restore_links([(host.ip, ip) for ip in others] + [(ip, host.ip) for ip in others])
        host.boot()
        self.oracle.machine_started(host.ip, host.kind)

    def _boot_later(self, host, downtime_s):
        host.scheduled_boots += 1
        self.loop.call_at(self.loop.now + downtime_s, self._boot_if_latest, host, host.scheduled_boots)

    def _boot_if_latest(self, host, scheduled_boots):
        if host.scheduled_boots == scheduled_boots:
            self.boot(host)

    def _end_process(self, host):
        self.oracle.machine_ended(host.ip)
        if host.is_running:
            host.machine.resume() if host.machine.paused else None
            host.machine.kill()
        if host.kind == "store":
            host.disk.lose_power(self.rng)

    def step_clock(self, host, step_ms):
        self.record_event("clock step", host, f"{step_ms} ms")
        self.oracle.fault_began(host.ip, "clock")
        host.wall_clock_offset_ms += step_ms
        self.oracle.fault_ended(host.ip, "clock")

    def heal(self):
        """End all faults: all machines run and are connected."""
        self.record_event("heal")
        self.duplicate_share = 0.0
        for host in self.hosts.values():
            if host.removed:
                continue
            self.unfreeze(host)
            host.scheduled_boots += 1
            self.boot(host)
            if host.kind == "store":
                self.oracle.set_slow(host.ip, False)
                host.disk.slow_s, host.disk.full, host.disk.silent = 0.0, False, False
        for uplink in self.uplinks.values():
            uplink.rate_mbit = None
        self.restore_links([pair for pair, link in sorted(self.links.items()) if link.is_cut])
        self.clear_impairments([pair for pair, link in self.links.items() if link.loss or link.jitter_s])
        self.oracle.healed()

"""The world of a simulated run: machines, the links between them, and everything that befalls both.

Whatever goes wrong is told to the oracle as spans of trouble, since the rules bind only machines in touch.
"""

import asyncio
import copy
import random

from dewpin.cluster.platform_list import PlatformUnavailableError
from dewpin.cluster.receivers import Receiver
from dewpin.lab.transport import LinkConditions

from .hosts import FrontHost, StoreHost
from .loop import SimulatedLoop
from .oracle import Oracle

ZONES = ("hall-a", "hall-b", "hall-c")
SAME_ZONE_S, OTHER_ZONE_S, CLIENT_S = 0.0003, 0.0014, 0.003
RETRANSMIT_S = 0.2
BACK_AFTER_S = 0.4
SEED_LAG_S = 3.0
"""The operator's list of machines, from which settings files take their seeds, is older by this."""
MOST_SEEDS = 3
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
    """A machine's way into the network, which all its connections share. `rate_mbit`: None for no limit."""

    __slots__ = ("rate_mbit", "_free_s")

    def __init__(self):
        self.rate_mbit = None
        self._free_s = 0.0

    def departure_s(self, now_s, size):
        """When `size` bytes written now have left."""
        if self.rate_mbit is None:
            return now_s
        self._free_s = max(now_s, self._free_s) + size * 8 / (self.rate_mbit * 1e6)
        return self._free_s


class Link(LinkConditions):
    """One direction between two machines. `loss`: share of deliveries that are sent again; `jitter_s`: at most;
    `uplink`: of the machine that sends."""

    __slots__ = ("base_s", "loss", "jitter_s", "dice", "uplink")

    def __init__(self, base_s, dice, uplink):
        super().__init__()
        self.base_s, self.loss, self.jitter_s, self.dice, self.uplink = base_s, 0.0, 0.0, dice, uplink

    def arrival_s(self, now_s, size):
        return self.uplink.departure_s(now_s, size) + self.latency_s

    @property
    def latency_s(self):
        late_s = self.base_s * (1 + 0.2 * self.dice.random()) + self.jitter_s * self.dice.random()
        again_s = RETRANSMIT_S
        while self.loss and self.dice.random() < self.loss and again_s < 4:
            late_s += again_s
            again_s *= 2
        return late_s

    @latency_s.setter
    def latency_s(self, value):
        pass


class PlatformAccess:
    """The platform's list, as one machine reaches it."""

    def __init__(self, world, host):
        self.world, self.host = world, host

    async def read(self, address):
        await asyncio.sleep(0.005)
        if not self.world.reaches(self.host.ip, PLATFORM_IP):
            await asyncio.sleep(0.8)
            raise PlatformUnavailableError("cut off")
        return list(self.world.receivers)


class World:
    """`serves` and `listens`: by kind of machine, what its settings say. `doubled`: share of messages that are handled
    a second time, later."""

    serves = {"store": ("store", "control"), "front": ("front",)}
    listens = {"store": {"control": 8144}, "front": {"front": 8149, "ready": 8141}}

    def __init__(self, seed, stores=3, fronts=3, losses=1):
        self.seed, self.losses, self.bounds = seed, losses, BOUNDS
        self.loop = SimulatedLoop(seed)
        self.dice = random.Random(f"world/{seed}")
        self.oracle = Oracle(BOUNDS, lambda: self.loop.now)
        self.network = self.loop.network
        self.network.link_between = self._way
        self.links = {}
        self.uplinks = {}
        self.hosts = {}
        self.zone_of = {}
        self.doubled = 0.0
        self.receivers = [Receiver(f"i-{n}", "lookup", f"10.9.0.{n}:80", ZONES[n % 3], 4) for n in range(3)]
        self.log = []
        for _ in range(stores):
            self.add(StoreHost)
        for _ in range(fronts):
            self.add(FrontHost)
        self._first_seeds = [host.ip for host in self.stores()][:MOST_SEEDS]

    # Machines

    def add(self, kind, name=None, zone=None):
        """Put up a machine, without a process yet."""
        number = sum(isinstance(host, kind) for host in self.hosts.values()) + 1
        name, zone = name or f"{kind.kind}-{number}", zone or ZONES[number % 3]
        ip = f"10.{1 if kind is StoreHost else 2}.0.{number}"
        self.zone_of[ip] = zone
        host = self.hosts[ip] = kind(self, name, ip, zone)
        return host

    def boot_all(self):
        """The first start of everything, in any order within 0.3 s."""
        for host in self.hosts.values():
            self.loop.call_at(self.loop.now + 0.3 * self.dice.random(), host.boot, True)
            self.oracle.machine_started(host.ip, host.kind)

    def stores(self):
        return [host for host in self.hosts.values() if host.kind == "store" and not host.removed]

    def seeds(self):
        """The addresses that a settings file written now names: of machines on the operator's list, which lags."""
        listed_s = self.loop.now - SEED_LAG_S
        listed = [host.ip for host in self.hosts.values() if host.kind == "store" and host.was_there(listed_s)]
        return listed[:MOST_SEEDS] or self._first_seeds

    def fronts(self):
        return [host for host in self.hosts.values() if host.kind == "front" and not host.removed]

    def note(self, what, *whom):
        """Remember for the trace, and for the digest."""
        names = " ".join(host.name if hasattr(host, "name") else str(host) for host in whom)
        self.log.append(f"{self.loop.now:9.3f} {what} {names}")
        self.loop.record(what, names)

    def platform(self, host):
        return PlatformAccess(self, host)

    # Links

    def _way(self, source, target):
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

    def cut(self, sources, targets):
        """Cut every way from `sources` to `targets`, addresses both. Returns what `join` takes."""
        pairs = [(one, other) for one in sources for other in targets if one != other and self.reaches(one, other)]
        for pair in pairs:
            self.link(*pair).is_cut = True
            self.oracle.cut_began(*pair)
        self.note("cut", *[f"{one}>{other}" for one, other in pairs])
        return pairs

    def join(self, pairs):
        for pair in pairs:
            if self.link(*pair).is_cut and self._may_join(pair):
                self.link(*pair).is_cut = False
                self.oracle.cut_ended(*pair)
        self.note("join", *[f"{one}>{other}" for one, other in pairs if self.reaches(one, other)])
        self.network.deliver_held()

    def _may_join(self, pair):
        return all(self.hosts[ip].powered and not self.hosts[ip].removed for ip in pair if ip in self.hosts)

    def slow_down(self, links, loss=0.0, jitter_s=0.0):
        """Let links lose or delay what they carry; `links` are pairs of addresses."""
        for pair in links:
            link = self.link(*pair)
            link.loss, link.jitter_s = loss, jitter_s
            for ip in pair:
                self.oracle.slowed(ip, True)
        self.note(f"slow links {loss:.2f} {jitter_s:.2f}", *[f"{one}>{other}" for one, other in links])

    def speed_up(self, links):
        """End what `slow_down` began."""
        for pair in links:
            link = self.link(*pair)
            link.loss = link.jitter_s = 0.0
            for ip in pair:
                self.oracle.slowed(ip, False)

    def limit_rate(self, host, rate_mbit):
        """Give a machine's link a rate; None for none."""
        self.uplinks.setdefault(host.ip, Uplink()).rate_mbit = rate_mbit
        self.note(f"link of {rate_mbit} Mbit/s", host)

    def reset_any_connection(self):
        sides = sorted(self.network.transports, key=lambda side: side.number)
        if sides:
            side = self.dice.choice(sides)
            for ip in (side.local[0], side.remote[0]):
                self.oracle.trouble_began(ip, "reset")
                self.oracle.trouble_ended(ip, "reset")
            self.network.reset_connection(side)

    def everyone(self):
        """The addresses of all that there is, operators and the platform too."""
        return [*self.hosts, OPERATOR_IP, PLATFORM_IP]

    def disturbed(self, handlers):
        """Handlers that run some messages a second time, later; nobody gets the answer of that."""
        return {kind: self._doubling(handler) for kind, handler in handlers.items()}

    def _doubling(self, handler):
        async def handle(message):
            if self.doubled and self.loop.random.random() < self.doubled:
                twin = asyncio.ensure_future(self._again(handler, copy.deepcopy(message)))
                twin.add_done_callback(lambda done: done.cancelled() or done.exception())
            return await handler(message)

        return handle

    async def _again(self, handler, message):
        await asyncio.sleep(2.0 * self.loop.random.random() ** 2)
        await handler(message)

    # Processes

    def kill(self, host, back_s=BACK_AFTER_S):
        """As SIGKILL; the process is started again after a while."""
        self.note("kill", host)
        self._end_process(host)
        if back_s is not None:
            self._boot_later(host, back_s)

    def power_off(self, host, back_s):
        """Loss of power: what was not synced is gone, and nobody is told."""
        self.note("power off", host)
        host.powered = False
        others = [ip for ip in self.everyone() if ip != host.ip]
        self.cut([host.ip], others)
        self.cut(others, [host.ip])
        self._end_process(host)
        if back_s is not None:
            self._boot_later(host, back_s)

    def wipe(self, host, back_s):
        """Loss of power and of the disk."""
        self.power_off(host, back_s)
        self.note("wipe", host)
        host.put_in_empty_disk()

    def stop(self, host, back_s):
        """A planned stop; `back_s` None: for good."""
        self.note("stop", host)
        self.oracle.trouble_began(host.ip, "stop")
        host.stops_for = back_s
        host.stop()

    def process_ended(self, host, life):
        """Its own end after a planned stop."""
        if host.runs and host.life == life:
            self._end_process(host)
            if host.stops_for is not None:
                self._boot_later(host, host.stops_for)

    def remove(self, host):
        """Take a machine away for good."""
        self.power_off(host, None)
        host.removed = True
        host.removed_s = self.loop.now
        self.oracle.machine_removed(host.ip)

    def freeze(self, host):
        if host.serves:
            self.note("freeze", host)
            self.oracle.trouble_began(host.ip, "frozen")
            host.machine.pause()

    def thaw(self, host):
        if host.runs and host.machine.paused:
            self.note("thaw", host)
            host.machine.resume()
            self.oracle.trouble_ended(host.ip, "frozen")

    def boot(self, host):
        """Start a machine's process on whatever disk it has."""
        if host.removed or host.runs:
            return
        self.note("boot", host)
        if not host.powered:
            host.powered = True
            others = [ip for ip in self.everyone() if ip != host.ip]
            self.join([(host.ip, ip) for ip in others] + [(ip, host.ip) for ip in others])
        host.boot()
        self.oracle.machine_started(host.ip, host.kind)

    def _boot_later(self, host, back_s):
        host.boots += 1
        self.loop.call_at(self.loop.now + back_s, self._boot_if_still_meant, host, host.boots)

    def _boot_if_still_meant(self, host, boots):
        if host.boots == boots:
            self.boot(host)

    def _end_process(self, host):
        self.oracle.machine_ended(host.ip)
        if host.runs:
            host.machine.resume() if host.machine.paused else None
            host.machine.kill()
        if host.kind == "store":
            host.disk.lose_power(self.dice)

    def step_clock(self, host, step_ms):
        self.note("clock step", host, f"{step_ms} ms")
        self.oracle.trouble_began(host.ip, "clock")
        host.day_step_ms += step_ms
        self.oracle.trouble_ended(host.ip, "clock")

    def heal(self):
        """End all trouble: everything runs and is connected."""
        self.note("heal")
        self.doubled = 0.0
        for host in self.hosts.values():
            if host.removed:
                continue
            self.thaw(host)
            host.boots += 1
            self.boot(host)
            if host.kind == "store":
                self.oracle.slowed(host.ip, False)
                host.disk.slow_s, host.disk.full, host.disk.silent = 0.0, False, False
        for uplink in self.uplinks.values():
            uplink.rate_mbit = None
        self.join([pair for pair, link in sorted(self.links.items()) if link.is_cut])
        self.speed_up([pair for pair, link in self.links.items() if link.loss or link.jitter_s])
        self.oracle.healed()

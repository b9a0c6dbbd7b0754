"""One run of a fleet: starts the senders, hands mails in, lets the faults befall, ends all it started, judges.

It owns the processes, by their ids, and the folder of the run. Whatever happens, none of them outlives it.
"""
import asyncio
import heapq
import json
import os
import random
import resource
import shutil
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from . import places
from .http import ask
from .scenario import Fault, Scenario, settings
from .tally import Hand, Tally
from .world import Receiver, World

ROOT = Path(__file__).resolve().parents[3]
READY = 60.0            # seconds for a sender to be ready
CLIENT = 0.4            # seconds that a client waits for its answer
LOOK = 0.02             # seconds between two looks at the world's own lateness
DRAINS = 1000.0         # ms from leaving to left
SPARE = 2000            # descriptors beside the listening ones


class Sender:
    """One process, its folder and its log."""

    def __init__(self, number: int, scenario: Scenario, folder: Path) -> None:
        self.number, self.scenario, self.folder = number, scenario, folder
        self.process: subprocess.Popen[bytes] | None = None
        self.listed, self.gone_at = True, 0.0   # whether the front still sends there
        self.address = ("127.0.0.1", 0)

    def start(self, known: dict[str, Any], agent: tuple[str, int]) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        if not self.address[1]:
            self.address = free(f"127.3.{self.number >> 8}.{self.number & 255}")
        told = {"name": f"n{self.number}", "listen": "%s:%d" % self.address, "discovery": "%s:%d" % agent,
                "state": str(self.folder / "state"), "seed": f"{self.scenario.seed:x}", "known": known,
                "limits": {"memory_mb": 192, "sockets": 512, "disk_mb": 3},
                "settings": settings(self.scenario, self.number)}
        (self.folder / "config.json").write_text(json.dumps(told))
        senders = self.scenario.senders
        command = senders.command if self.number in senders.odd else [sys.executable, "-m", "dewpin", "run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "DEWPIN_"))}
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment | {"LB_CONFIG": str(self.folder / "config.json")})

    def send(self, number: int) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def ready(self, seconds: float = READY) -> None:
        """Raises RuntimeError if the sender ends or takes too long."""
        end = asyncio.get_running_loop().time() + seconds
        request = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        while not (answer := await ask(self.address, request, 2.0)) or answer[0] != 200:
            if self.process is None or self.process.poll() is not None:
                raise RuntimeError(f"sender {self.number} ended; its log is {self.folder / 'log'}")
            if asyncio.get_running_loop().time() > end:
                raise RuntimeError(f"sender {self.number} is not ready after {seconds} s")
            await asyncio.sleep(0.05)


def free(host: str) -> tuple[str, int]:
    import socket
    with socket.socket() as held:
        held.bind((host, 0))
        address: tuple[str, int] = held.getsockname()
        return address


def room(scenario: Scenario) -> None:
    """Descriptors for the listening sockets at all receivers; OSError says how many it takes."""
    joins = sum(max(1, round(one.times)) for one in scenario.faults if one.what == "join")
    told = scenario.receivers
    groups = -(-scenario.senders.count // scenario.senders.to_an_address)
    wanted = groups * told.destinations * (told.each + joins) + 2 * scenario.senders.count + SPARE
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, max(hard, wanted)))
        except (ValueError, OSError):
            raise OSError(f"{wanted} descriptors are needed and {hard} allowed: fewer senders or receivers, "
                          f"more senders.to_an_address, or a higher limit (ulimit -n)") from None


class Run:
    def __init__(self, scenario: Scenario, out: Path) -> None:
        self.scenario, self.out = scenario, out
        self.dice = random.Random(scenario.seed + 1)
        self.tally = Tally(scenario)
        self.world = World(scenario, self.tally)
        self.senders = [Sender(number, scenario, out / f"n{number}") for number in range(scenario.senders.count)]
        self.due: list[tuple[float, int, Any]] = []         # what clients and faults do next
        self.count = self.mails = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.again: dict[int, int] = {}                     # mail: hand-ins so far
        self.faults: list[str] = []
        self.starting = asyncio.Semaphore(os.cpu_count() or 1)
        self.world.heard_end, self.world.heard_run = self._noticed, self._delivered

    async def play(self) -> dict[str, Any]:
        """Runs it whole; gives figures and broken rules. All processes are ended when it returns or raises."""
        try:
            await self.world.open()
            await asyncio.gather(*(self._start(one) for one in self.senders))
            self.world.zero = self.world.loop.time()
            watching = asyncio.get_running_loop().create_task(self._watch())
            self.tasks.add(watching)
            self._arrivals()
            for fault in self.scenario.faults:
                self._plan(fault.at * 1000.0, self._befall, fault)
            load = self.scenario.load
            await self._until(load.seconds * 1000.0)
            last = max((one.expires for one in self.tally.hands.values()), default=0.0)
            last += 2000.0 + self.scenario.slack_ms
            while self.world.now() < last and self._owed():
                await self._until(min(last, self.world.now() + 100.0))
            end = self.world.now()
        finally:
            await self._end()
        self.tally.judge(end)
        if self.faults:
            raise RuntimeError("; ".join(self.faults))
        return {"scenario": self.scenario.name, "senders": self.scenario.senders.count, "seed": self.scenario.seed,
                "figures": self.tally.figures({one.name: (one.destination, one.since) for one in self.world.receivers}),
                "breaks": self.tally.breaks, "unsure": self.tally.unsure}

    async def _watch(self) -> None:
        """How late the world itself is: what it sees then may have come before."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LOOK
            await asyncio.sleep(LOOK)
            self.tally.late(self.world.now(), (loop.time() - due) * 1000.0)

    async def _end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for one in self.senders:        # by their ids, and only our own
            one.send(signal.SIGKILL)
        for one in self.senders:
            if one.process:
                await asyncio.to_thread(one.process.wait)
        self.world.close()

    async def _start(self, one: Sender) -> None:
        known, agent = self.world.known(one.number), self.world.agents[one.number].port.address
        async with self.starting:       # hundreds at once would hold the world up
            await asyncio.to_thread(one.start, known, agent)
            await one.ready()
        self.tally.lives[one.number].append((self.world.now(), "ready"))
        one.listed = True

    # -- what happens when ----------------------------------------------------------------------------------------

    def _plan(self, at: float, step: Any, *given: Any) -> None:
        self.count += 1
        heapq.heappush(self.due, (at, self.count, (step, given)))

    async def _until(self, end: float) -> None:
        while True:
            now = self.world.now()
            while self.due and self.due[0][0] <= now:
                step, given = heapq.heappop(self.due)[2]
                task = asyncio.get_running_loop().create_task(self._whole(step, given))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            if now >= end:
                return
            await asyncio.sleep(max(0.0, min(self.due[0][0] if self.due else end, end) - now) / 1000.0)

    async def _whole(self, step: Any, given: Sequence[Any]) -> None:
        try:
            await step(*given)
        except (OSError, RuntimeError) as error:        # the run goes on to its end, and is told as failed
            self.faults.append(str(error))

    def _owed(self) -> bool:
        return any(one.taken is not None and one.delivered is None and not one.notice
                   for one in self.tally.hands.values()) or bool(self.due)

    # -- clients -------------------------------------------------------------------------------------------------

    def _arrivals(self) -> None:
        load, told, now = self.scenario.load, self.scenario.receivers, 0.0
        effects, shares = list(load.classes), list(load.classes.values())
        while (now := now + self.dice.expovariate(load.rate / 1000.0)) < load.seconds * 1000.0:
            effect, destination = self.dice.choices(effects, shares)[0], self.dice.randrange(told.destinations)
            key = f"k{destination}.{self.dice.randrange(load.keys)}" if effect == "unsafe" else ""
            self._plan(now, self._hand_in, self.mails, effect, destination, key, now + load.lifetime_ms,
                       self.dice.random())
            self.mails += 1

    async def _hand_in(self, mail: int, effect: str, destination: int, key: str, expires: float, chance: float) -> None:
        """One hand-in at the sender that the front chooses; without an answer, once more at another."""
        at = self.world.now()
        self.tally.began.setdefault(mail, at)
        tries = self.again[mail] = self.again.get(mail, 0) + 1
        listed = [one for one in self.senders if one.listed]
        if key:                     # one sender has all mails of a key while it runs
            chance = random.Random(key).random()
        if not listed or at > expires:
            self.tally.ended[mail] = "refused", at
            return
        sender = listed[int(chance * len(listed))]
        ident = f"{mail}-{tries}"
        hand = Hand(ident, mail, sender.number, effect, key, destination, at, expires, self.count)
        self.tally.hands[ident] = hand
        request = (f"POST /api{'?about=' + key if key else ''} HTTP/1.1\r\nHost: x\r\nReq-Id: {ident}\r\n"
                   f"Req-Kind: {effect}\r\nReq-Owner: all\r\nReq-Deadline: {(expires - at) / 1000.0:.3f}\r\n"
                   f"Idempotency-Key: {mail}\r\nX-Consignee: dest={destination}\r\n"
                   f"Content-Length: 4\r\n\r\nmail").encode()
        answer = await ask(sender.address, request, CLIENT)
        now = self.world.now()
        if answer and answer[0] in (200, 202):
            hand.taken = now
            if hand.delivered is not None:
                self._delivered(hand)
            return
        if answer is None and effect == "unsafe":       # it may have been taken on: whether it ran can't be known
            self.tally.ended[mail] = "unknown", now
            return
        pause = float(answer[1].get("retry-after", 0.0)) * 1000.0 if answer else 0.0
        self._come_again(hand, pause)

    def _come_again(self, hand: Hand, pause: float) -> None:
        now = self.world.now()
        if self.again[hand.mail] > self.scenario.load.retries:
            self.tally.ended[hand.mail] = "refused", now
            return
        self._plan(now + max(pause, 200.0) * self.dice.uniform(1.0, 1.5), self._hand_in, hand.mail, hand.effect,
                   hand.destination, hand.key, hand.expires, self.dice.random())

    def _delivered(self, hand: Hand) -> None:
        if hand.taken is not None and self.tally.ended.get(hand.mail, ("",))[0] != "delivered":
            self.tally.ended[hand.mail] = "delivered", hand.delivered or self.world.now()

    def _noticed(self, hand: Hand, outcome: str, ms: float) -> None:
        if hand.taken is None or self.tally.ended.get(hand.mail, ("",))[0] == "delivered":
            return
        if outcome == "handed_back":
            self._come_again(hand, ms)
        else:
            self.tally.ended[hand.mail] = "failed", self.world.now()

    # -- faults --------------------------------------------------------------------------------------------------

    def _share(self, among: list[Any], share: float) -> list[Any]:
        return self.dice.sample(among, min(len(among), max(1, round(share * len(among))))) if share else []

    def _struck(self, fault: Fault) -> list[Receiver]:
        here = [one for one in self.world.receivers if one.phase == "active"]
        if fault.zone:
            return [one for one in here if one.zone == fault.zone]
        if fault.destinations:
            chosen = self._share(list(range(len(self.world.destinations))), fault.destinations)
            return [one for one in here if one.destination in chosen]
        return self._share(here, fault.receivers)

    async def _befall(self, fault: Fault) -> None:
        senders, after = self._share(self.senders, fault.senders), fault.seconds
        if fault.what in ("kill", "term"):
            await asyncio.gather(*(self._dies(one, fault) for one in senders))
        elif fault.what == "stop":
            for one in senders:
                one.send(signal.SIGSTOP)
                self.tally.lives[one.number].append((self.world.now(), "killed"))
            await asyncio.sleep(after)
            for one in senders:
                one.send(signal.SIGCONT)
                self.tally.lives[one.number].append((self.world.now(), "ready"))
        elif fault.what == "join":
            for destination in range(len(self.world.destinations)):
                for _ in range(max(1, round(fault.times))):
                    one = await self.world.add(destination, self.world.now())
                    self.world.change(one, "active")
        elif fault.what == "refuse":
            self.world.refusing = True
            await asyncio.sleep(after)
            self.world.refusing = False
        else:
            await self._receivers_fail(fault, self._struck(fault), senders)

    async def _dies(self, one: Sender, fault: Fault) -> None:
        life = self.tally.lives[one.number]
        if fault.what == "term":
            one.send(signal.SIGTERM)
        else:
            one.send(signal.SIGKILL)
        life.append((self.world.now(), "killed"))
        if not fault.folder or not fault.seconds:
            life.append((self.world.now(), "lost"))
        front = asyncio.get_running_loop().time() + self.scenario.senders.front_notices_ms / 1000.0
        assert one.process
        await asyncio.to_thread(one.process.wait)
        back = asyncio.get_running_loop().time() + fault.seconds
        if not fault.seconds or back > front:
            await asyncio.sleep(max(0.0, front - asyncio.get_running_loop().time()))
            one.listed = False
        if not fault.seconds:
            return
        await asyncio.sleep(max(0.0, back - asyncio.get_running_loop().time()))
        if not fault.folder:
            await asyncio.to_thread(shutil.rmtree, one.folder / "state", True)
        await self._start(one)

    async def _receivers_fail(self, fault: Fault, struck: list[Receiver], senders: list[Sender]) -> None:
        groups = {one.number // self.world.shared for one in senders or self.senders}
        ways = [one.ways[group] for one in struck or self.world.receivers for group in sorted(groups)]
        now, what = self.world.now(), fault.what
        if what == "leave":
            for one in struck:
                self.world.change(one, "leaving")
            await asyncio.sleep(DRAINS / 1000.0)
            for one in struck:
                self.world.change(one, "left")
            return
        for one in struck:
            if what in ("down", "cold"):
                one.place.fails(now, places.DOWN)
                self.world.refuse(one)
            elif what == "hang":
                one.place.fails(now, places.HUNG)
            elif what == "slow":
                one.place.times = fault.times
        if what == "limit":
            for destination in {one.destination for one in struck}:
                self.world.destinations[destination].limit *= fault.times
        for way in ways if what in ("cut", "reset", "lag") else ():
            if what == "cut":
                way.held |= {"to", "from"} if fault.way == "both" else {fault.way}
            elif what == "reset":
                way.resets = fault.share
            else:
                way.lag = fault.ms
        await asyncio.sleep(fault.seconds)
        for one in struck:
            if what in ("down", "cold", "hang"):
                one.place.returns(self.world.now() if what != "down" else -1e12)
                if what != "hang":
                    await self.world.answer(one)
            one.place.times = 1.0
        if what == "limit":
            for destination in {one.destination for one in struck}:
                self.world.destinations[destination].limit /= fault.times
        for way in ways:
            way.lag = way.resets = 0.0
            way.heal()


async def play(scenario: Scenario, out: Path) -> dict[str, Any]:
    """Runs a scenario in a folder; gives its result, which lies in `result.json` there too. OSError, RuntimeError."""
    room(scenario)
    out.mkdir(parents=True, exist_ok=True)
    result = await Run(scenario, out).play()
    (out / "result.json").write_text(json.dumps(result, indent=1))
    return result

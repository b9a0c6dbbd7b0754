"""A seeded day of one sender's processes on a clock of its own: one hands on to a second, which is killed.

`play_day(folder)` gives the lines of what happened, as plain values: what clients were answered, each call and its
outcome, each notice, what a process handed on, the checksum of its files. The same program gives the same day.
"""

import heapq
import json
import random
from itertools import count
from pathlib import Path
from zlib import crc32

from golden import sender_api
from golden.sender.simulated_day import message_class, site_settings
from golden.sender.stored_scenes import message, receiver

SEED = 1729
START = 1764690000.0
HAND_ON_S, KILL_S, END_S = 34.0, 50.0, 62.0
CLASSES = [
    message_class("keyed", Name="notice", scope="zone", value=2.0),
    message_class("safe", Name="status", deadline=9000.0),
    message_class("unsafe", Name="charge", value=4.0, ByArrival=True),
]
PHASES = {  # by destination: (until second, what)
    7: [(8, "up"), (13, "down"), (20, "up"), (24, "silent"), (99, "up")],
    8: [(10, "limited"), (16, "limited, told"), (24, "up"), (36, "shut"), (99, "limited")],
    9: [(6, "full table"), (12, "errors"), (18, "resets"), (31, "up"), (36, "slow"), (42, "down"), (99, "up")],
}


def settings():
    return site_settings(
        [one | {"Name": name} for one, name in zip(CLASSES, ("notice", "status", "charge"), strict=True)],
        slots=9,
        room=70,
        Accounts=[{"Name": "acme"}, {"Name": "duck"}],
        bundles=(1, 2),
        apart=(False, True),
        Report={"Fields": ["x0", "x1"], "How": "inline"},
        Weights="nominal",
    )


class Timer:
    def __init__(self, action, arguments):
        self.action, self.arguments = action, arguments

    def cancel(self):
        self.action = None


class Loop:
    """What the program uses of asyncio's loop, on a clock that jumps to what is due next."""

    def __init__(self):
        self.now, self.queue, self.order = START, [], count()

    def time(self):
        return self.now

    def call_soon(self, action, *arguments):
        return self.call_later(0.0, action, *arguments)

    def call_later(self, seconds, action, *arguments):
        timer = Timer(action, arguments)
        heapq.heappush(self.queue, (self.now + max(0.0, seconds), next(self.order), timer))
        return timer

    def run_until(self, end):
        while self.queue and self.queue[0][0] <= end:
            self.now, _, timer = heapq.heappop(self.queue)
            if timer.action:
                timer.action(*timer.arguments)
        self.now = end


class ProcessLoop:
    """The loop as one process sees it: what it set ends with the process."""

    def __init__(self, loop):
        self.loop, self.ended = loop, False
        self.time = loop.time

    def call_soon(self, action, *arguments):
        return self.call_later(0.0, action, *arguments)

    def call_later(self, seconds, action, *arguments):
        return self.loop.call_later(seconds, self.run, action, *arguments)

    def run(self, action, *arguments):
        if not self.ended:
            action(*arguments)


class Wires:
    """The receivers and the agent's notices, for one process."""

    def __init__(self, day, name):
        self.day, self.name, self.opening = day, name, {}
        self.loop = ProcessLoop(day.loop)
        self.numbers, self.left = count(), set()  # left: calls whose bytes are out
        self.tells_notices = True  # until the folder is handed on

    def call(self, address, ident, idempotency_key, body, limit_ms, may_leave, ended):
        call = next(self.numbers)
        self.day.tell(self.name, "call", call, address, ident, idempotency_key, len(body), limit_ms)
        self.opening[call] = address, ended
        connect = self.day.random.choice([0.0, 0.0, 0.5, 40.0])
        self.loop.call_later(connect / 1000.0, self.connected, call, ident, limit_ms, may_leave)

    def connected(self, call, ident, limit_ms, may_leave):
        if call not in self.opening:
            return
        address, ended = self.opening.pop(call)
        left = may_leave()
        self.day.tell(self.name, "may leave", call, left)
        if left <= 0.0:
            return self.ended(call, ended, "not_sent", 0.0, 0.0, {}, False)
        self.left.add(call)
        outcome, took, wait, load, over = self.day.fate(address[2], limit_ms)
        self.loop.call_later(took / 1000.0, self.ended, call, ended, outcome, wait, took, load, over)

    def ended(self, call, ended, outcome, wait_ms, took_ms, load, over):
        self.left.discard(call)
        self.day.tell(self.name, "call ended", call, outcome, wait_ms, took_ms, load, over)
        ended(outcome, wait_ms, took_ms, load, over)

    def recall(self, address):
        self.day.tell(self.name, "recall", address)
        for call in [call for call, (held, _) in self.opening.items() if held == address]:
            self.ended(call, self.opening.pop(call)[1], "not_sent", 0.0, 1.0, {}, False)

    def close_idle(self, address):
        self.day.tell(self.name, "close idle", address)

    def tell(self, ident, retryable, retry_after_ms, answered):
        self.day.tell(self.name, "notice", ident, retryable, retry_after_ms)

        def answer():
            if self.tells_notices:
                self.day.tell(self.name, "notice answered", ident)
                answered()

        self.loop.call_later(self.day.random.choice([0.004, 0.03, 0.4]), answer)


class Day:
    def __init__(self, folder):
        self.folder = Path(folder)
        self.random, self.loop = random.Random(SEED), Loop()
        self.lines, self.idents = [], count(1)
        self.taken = {}  # destination: times of late calls
        self.process, self.wires = None, None
        self.receivers = {
            one["id"]: one
            for destination in PHASES
            for at in range(3)
            for one in [
                receiver(
                    f"r{destination}{at}",
                    destination=destination,
                    address=["10.0.0.%d" % destination, 9000 + at],
                    zone=["north", "south"][at % 2],
                    kind="small" if destination == 9 else "major",
                    weight=4.0,
                )
            ]
        }
        self.removed = []

    def tell(self, *facts):
        self.lines.append([round((self.loop.now - START) * 1000.0, 6), *facts])

    def start(self, name):
        self.wires = Wires(self, name)
        self.process = sender_api.SenderProcess(
            self.folder, settings(), 0xFEED + len(name), self.wires.loop, self.wires, self.wires
        )

    def checksum(self, name):
        content = (self.folder / name).read_bytes()
        self.tell("file", name, len(content), crc32(content))

    # -- what happens -----------------------------------------------------------------------------------------------

    def play(self):
        self.start("first")
        self.process.resume()
        self.process.learn(self.receivers.values(), True)
        self.loop.call_later(0.1, self.hand_in)
        for second in range(3, int(END_S), 3):
            self.loop.call_later(second, self.change, second)
        self.loop.call_later(21.5, self.detach, "r71")
        self.loop.call_later(56.5, self.attach, "r71")
        self.until(HAND_ON_S)
        while len(self.wires.left) < 2:
            self.loop.run_until(self.loop.now + 0.01)
        self.hand_over()
        self.until(KILL_S)
        self.kill()
        self.until(END_S)
        self.summary()
        self.process.close()
        return self.lines

    def until(self, second):
        while self.loop.now < START + second:
            self.loop.run_until(min(START + second, self.loop.now + 2.0))
            self.checksum("journal")

    def hand_over(self):
        first, first_wires = self.process, self.wires
        self.summary()
        handed = first.hand_on()
        first_wires.tells_notices = False
        self.tell("handed on", json.loads(handed))
        self.handed = handed
        self.start("second")
        self.process.take_over()
        self.tell("handed on again", self.process.handed_again())
        for at in range(6):  # on a connection that stood open at the first
            self.answer(first, at % 3, f"late{at}")
        for step in range(12):
            self.loop.run_until(self.loop.now + 0.05)
            self.process.follow()
        self.checksum("tail")
        first_wires.loop.ended = True
        first.close()
        self.process.follow(gone=True)
        self.checksum("journal")

    def kill(self):
        self.wires.loop.ended = True
        self.summary()
        self.process.close()
        self.start("third")
        self.process.learn(self.receivers.values(), True)
        self.process.resume()

    def summary(self):
        self.tell("figures", self.process.figures())
        self.tell("queues", self.process.queues())

    def hand_in(self):
        rate = 11.0 if int(self.loop.now - START) % 9 < 3 else 5.0
        self.loop.call_later(self.random.expovariate(rate), self.hand_in)
        self.answer(self.process, self.random.randrange(3), f"m{next(self.idents)}")

    def answer(self, process, queue_class, ident):
        left = self.random.choice([None, None, 12_000.0, 5000.0, 300.0])
        facts = message(
            ident if self.random.random() > 0.01 else "m1",
            queue_class=["notice", "status", "charge"][queue_class] if self.random.random() > 0.01 else "unknown",
            tenant=self.random.choice(["acme", "duck"]),
            ordering_key=self.random.choice(["", "k1", "k2", "k3\xe9"]),
            destination=str(self.random.choice([7, 7, 8, 8, 9, 10] if self.random.random() < 0.05 else [7, 8, 9])),
            idempotency_key=self.random.choice(["", "tag"]),
            body="b" * self.random.randrange(200),
        )
        repeated = self.random.random() < 0.1
        self.tell("hand in", facts["id"], facts["destination"], left, *process.hand_in(facts, left, repeated))

    def change(self, second):
        one = self.random.choice(list(self.receivers.values()))
        what = self.random.randrange(6)
        if what == 0:
            one["state"] = "draining"
        elif what == 1:
            one["state"] = "removed"
        elif what == 2:
            one["address"] = [one["address"][0], one["address"][1] + 100]
        elif what == 3:
            return self.detach(one["id"])
        elif what == 4:
            return self.attach(one["id"])
        else:
            for held in self.receivers.values():
                held["state"] = "active"
            return self.process.learn(self.receivers.values(), True)
        self.process.learn([one], False)

    def detach(self, ident):
        self.tell("detach", ident, self.process.detach(ident), self.process.detach("nobody"))

    def attach(self, ident):
        self.tell("attach", ident, self.process.attach(ident))

    def fate(self, ident, limit_ms):
        """(outcome, took ms, wait told ms, load report, whether the message is over) of a call that leaves now."""
        roll = self.random.random()
        second = self.loop.now - START
        phase = next(what for until, what in PHASES[self.receivers[ident]["destination"]] if second < until)
        load = {"x0": 0.5, "x1": self.random.choice([0.0, 5.0])} if roll < 0.5 else {}
        good = ("delivered", 15.0 + 90.0 * self.random.random(), 0.0, load, False)
        if phase == "up":
            return ("not_sent", 9.0, 0.0, {}, True) if roll < 0.01 else good
        if phase.startswith("limited"):
            lately = [at for at in self.taken.get(ident[:2], ()) if at > second - 1.0]
            self.taken[ident[:2]] = lately
            if len(lately) >= 3:
                wait = 1000.0 * (1.0 - second + lately[0]) if phase.endswith("told") else 0.0
                return "rejected", 3.0, wait, load, False
            lately.append(second)
            return good
        outcome, took = {
            "down": ("connect_failed", 1.5) if roll < 0.8 else ("sent_in_part", 3.0),
            "silent": ("timed_out", limit_ms),
            "slow": ("delivered", 300.0 + 300.0 * roll),
            "shut": ("rejected", 4.0),
            "full table": ("connect_failed", 2.0) if roll < 0.4 else good[:2],
            "errors": ("error_answer", 25.0) if roll < 0.7 else good[:2],
            "resets": ("connection_reset", 1200.0 if roll < 0.2 else 9.0) if roll < 0.7 else good[:2],
        }[phase]
        if took > limit_ms:
            outcome, took = "timed_out", limit_ms
        return outcome, took, 0.0, {}, False


def play_day(folder):
    """(the lines of the day, what the first process handed on as bytes)."""
    day = Day(folder)
    return day.play(), day.handed

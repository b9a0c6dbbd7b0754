"""A seeded simulation of a sender's processes on a virtual clock: one hands over to a second, which is killed.

`play_day(folder)` returns the recorded events as plain values: results of submissions, calls and their outcomes,
notices, the handed-over state, and checksums of files. The same program gives the same events.
"""

import heapq
import json
import random
from itertools import count
from pathlib import Path
from zlib import crc32

from golden.sender.simulated_day import message_class, site_settings
from golden.sender.stored_scenes import message, receiver
from golden.sender_api import sender_process

SEED = 1729
START = 1764690000.0
HANDOVER_S, KILL_S, END_S = 34.0, 50.0, 62.0
CLASSES = [
    message_class("keyed", Name="notice", key_scope="zone", value=2.0),
    message_class("safe", Name="status", deadline_ms=9000.0),
    message_class("unsafe", Name="charge", value=4.0, ByArrival=True),
]
PHASES = {  # by destination: (end in seconds, behavior)
    7: [(8, "up"), (13, "down"), (20, "up"), (24, "silent"), (99, "up")],
    8: [(10, "limited"), (16, "limited, told"), (24, "up"), (36, "shut"), (99, "limited")],
    9: [(6, "full table"), (12, "errors"), (18, "resets"), (31, "up"), (36, "slow"), (42, "down"), (99, "up")],
}


def settings():
    return site_settings(
        [
            queue_class | {"Name": name}
            for queue_class, name in zip(CLASSES, ("notice", "status", "charge"), strict=True)
        ],
        call_slots=9,
        max_open=70,
        Accounts=[{"Name": "acme"}, {"Name": "duck"}],
        max_bundles=(1, 2),
        has_own_limits=(False, True),
        Report={"Fields": ["x0", "x1"], "How": "inline"},
        Weights="nominal",
    )


class Timer:
    def __init__(self, action, arguments):
        self.action, self.arguments = action, arguments

    def cancel(self):
        self.action = None


class Loop:
    """The part of asyncio's loop that the program uses, on a virtual clock that advances to the next timer."""

    def __init__(self):
        self.now, self.queue, self.sequence = START, [], count()

    def time(self):
        return self.now

    def call_soon(self, action, *arguments):
        return self.call_later(0.0, action, *arguments)

    def call_later(self, seconds, action, *arguments):
        timer = Timer(action, arguments)
        heapq.heappush(self.queue, (self.now + max(0.0, seconds), next(self.sequence), timer))
        return timer

    def run_until(self, end):
        while self.queue and self.queue[0][0] <= end:
            self.now, _, timer = heapq.heappop(self.queue)
            if timer.action:
                timer.action(*timer.arguments)
        self.now = end


class ProcessLoop:
    """The loop of one process; its timers are dropped when the process ends."""

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


class SimulatedNetwork:
    """Simulates the receivers and the agent that acknowledges notices, for one process."""

    def __init__(self, day, name):
        self.day, self.name, self.connecting = day, name, {}
        self.loop = ProcessLoop(day.loop)
        self.call_numbers, self.sent = count(), set()  # sent: calls whose request was sent
        self.acknowledges_notices = True  # until the folder is handed over

    def call(self, address, ident, idempotency_key, body, timeout_ms, open_send_window, on_finished):
        call = next(self.call_numbers)
        self.day.record(self.name, "call", call, address, ident, idempotency_key, len(body), timeout_ms)
        self.connecting[call] = address, on_finished
        connect = self.day.random.choice([0.0, 0.0, 0.5, 40.0])
        self.loop.call_later(connect / 1000.0, self.on_connected, call, ident, timeout_ms, open_send_window)

    def on_connected(self, call, ident, timeout_ms, open_send_window):
        if call not in self.connecting:
            return
        address, on_finished = self.connecting.pop(call)
        left = open_send_window()
        self.day.record(self.name, "may leave", call, left)
        if left <= 0.0:
            return self.finish(call, on_finished, "not_sent", 0.0, 0.0, {}, False)
        self.sent.add(call)
        outcome, duration, wait, load, over = self.day.draw_outcome(address[2], timeout_ms)
        self.loop.call_later(duration / 1000.0, self.finish, call, on_finished, outcome, wait, duration, load, over)

    def finish(self, call, on_finished, outcome, wait_ms, duration_ms, load, over):
        self.sent.discard(call)
        self.day.record(self.name, "call ended", call, outcome, wait_ms, duration_ms, load, over)
        on_finished(outcome, wait_ms, duration_ms, load, over)

    def cancel_unsent(self, address):
        self.day.record(self.name, "recall", address)
        for call in [call for call, (target, _) in self.connecting.items() if target == address]:
            self.finish(call, self.connecting.pop(call)[1], "not_sent", 0.0, 1.0, {}, False)

    def close_idle(self, address):
        self.day.record(self.name, "close idle", address)

    def publish(self, ident, is_deferred, retry_after_ms, on_acknowledged):
        self.day.record(self.name, "notice", ident, is_deferred, retry_after_ms)

        def acknowledge():
            if self.acknowledges_notices:
                self.day.record(self.name, "notice answered", ident)
                on_acknowledged()

        self.loop.call_later(self.day.random.choice([0.004, 0.03, 0.4]), acknowledge)


class Day:
    def __init__(self, folder):
        self.folder = Path(folder)
        self.random, self.loop = random.Random(SEED), Loop()
        self.lines, self.message_numbers = [], count(1)
        self.recent_calls = {}  # destination: times of recent calls
        self.process, self.network = None, None
        self.receivers = {
            target["id"]: target
            for destination in PHASES
            for number in range(3)
            for target in [
                receiver(
                    f"r{destination}{number}",
                    destination=destination,
                    address=["10.0.0.%d" % destination, 9000 + number],
                    zone=["north", "south"][number % 2],
                    kind="small" if destination == 9 else "major",
                    weight=4.0,
                )
            ]
        }
        self.removed = []

    def record(self, *values):
        self.lines.append([round((self.loop.now - START) * 1000.0, 6), *values])

    def start_process(self, name):
        self.network = SimulatedNetwork(self, name)
        self.process = sender_process.SenderProcess(
            self.folder, settings(), 0xFEED + len(name), self.network.loop, self.network, self.network
        )

    def record_checksum(self, name):
        content = (self.folder / name).read_bytes()
        self.record("file", name, len(content), crc32(content))

    # -- the events -------------------------------------------------------------------------------------------------

    def play(self):
        self.start_process("first")
        self.process.resume()
        self.process.learn(self.receivers.values(), True)
        self.loop.call_later(0.1, self.submit_next)
        for second in range(3, int(END_S), 3):
            self.loop.call_later(second, self.change_receivers, second)
        self.loop.call_later(21.5, self.detach, "r71")
        self.loop.call_later(56.5, self.attach, "r71")
        self.run_until_second(HANDOVER_S)
        while len(self.network.sent) < 2:
            self.loop.run_until(self.loop.now + 0.01)
        self.hand_over()
        self.run_until_second(KILL_S)
        self.kill()
        self.run_until_second(END_S)
        self.record_summary()
        self.process.close()
        return self.lines

    def run_until_second(self, second):
        while self.loop.now < START + second:
            self.loop.run_until(min(START + second, self.loop.now + 2.0))
            self.record_checksum("journal")

    def hand_over(self):
        first, first_network = self.process, self.network
        self.record_summary()
        state = first.hand_over()
        first_network.acknowledges_notices = False
        self.record("handed on", json.loads(state))
        self.state = state
        self.start_process("second")
        self.process.take_over()
        self.record("handed on again", self.process.export_state())
        for number in range(6):  # on a connection that the first process still has open
            self.submit(first, number % 3, f"late{number}")
        for step in range(12):
            self.loop.run_until(self.loop.now + 0.05)
            self.process.consume_handover_log()
        self.record_checksum("tail")
        first_network.loop.ended = True
        first.close()
        self.process.consume_handover_log(previous_has_exited=True)
        self.record_checksum("journal")

    def kill(self):
        self.network.loop.ended = True
        self.record_summary()
        self.process.close()
        self.start_process("third")
        self.process.learn(self.receivers.values(), True)
        self.process.resume()

    def record_summary(self):
        self.record("figures", self.process.metrics())
        self.record("queues", self.process.describe_queues())

    def submit_next(self):
        rate = 11.0 if int(self.loop.now - START) % 9 < 3 else 5.0
        self.loop.call_later(self.random.expovariate(rate), self.submit_next)
        self.submit(self.process, self.random.randrange(3), f"m{next(self.message_numbers)}")

    def submit(self, process, queue_class, ident):
        left = self.random.choice([None, None, 12_000.0, 5000.0, 300.0])
        fields = message(
            ident if self.random.random() > 0.01 else "m1",
            queue_class=["notice", "status", "charge"][queue_class] if self.random.random() > 0.01 else "unknown",
            tenant=self.random.choice(["acme", "duck"]),
            ordering_key=self.random.choice(["", "k1", "k2", "k3\xe9"]),
            destination=str(self.random.choice([7, 7, 8, 8, 9, 10] if self.random.random() < 0.05 else [7, 8, 9])),
            idempotency_key=self.random.choice(["", "tag"]),
            body="b" * self.random.randrange(200),
        )
        is_resubmission = self.random.random() < 0.1
        self.record(
            "hand in", fields["id"], fields["destination"], left, *process.submit(fields, left, is_resubmission)
        )

    def change_receivers(self, second):
        changed = self.random.choice(list(self.receivers.values()))
        change = self.random.randrange(6)
        if change == 0:
            changed["state"] = "draining"
        elif change == 1:
            changed["state"] = "removed"
        elif change == 2:
            changed["address"] = [changed["address"][0], changed["address"][1] + 100]
        elif change == 3:
            return self.detach(changed["id"])
        elif change == 4:
            return self.attach(changed["id"])
        else:
            for target in self.receivers.values():
                target["state"] = "active"
            return self.process.learn(self.receivers.values(), True)
        self.process.learn([changed], False)

    def detach(self, ident):
        self.record("detach", ident, self.process.detach(ident), self.process.detach("nobody"))

    def attach(self, ident):
        self.record("attach", ident, self.process.attach(ident))

    def draw_outcome(self, ident, timeout_ms):
        """Return (outcome, duration in ms, Retry-After in ms, load report, is_withdrawn) of a call sent now."""
        roll = self.random.random()
        second = self.loop.now - START
        phase = next(behavior for end_s, behavior in PHASES[self.receivers[ident]["destination"]] if second < end_s)
        load = {"x0": 0.5, "x1": self.random.choice([0.0, 5.0])} if roll < 0.5 else {}
        good = ("delivered", 15.0 + 90.0 * self.random.random(), 0.0, load, False)
        if phase == "up":
            return ("not_sent", 9.0, 0.0, {}, True) if roll < 0.01 else good
        if phase.startswith("limited"):
            recent = [at for at in self.recent_calls.get(ident[:2], ()) if at > second - 1.0]
            self.recent_calls[ident[:2]] = recent
            if len(recent) >= 3:
                wait = 1000.0 * (1.0 - second + recent[0]) if phase.endswith("told") else 0.0
                return "rejected", 3.0, wait, load, False
            recent.append(second)
            return good
        outcome, duration = {
            "down": ("connect_failed", 1.5) if roll < 0.8 else ("sent_in_part", 3.0),
            "silent": ("timed_out", timeout_ms),
            "slow": ("delivered", 300.0 + 300.0 * roll),
            "shut": ("rejected", 4.0),
            "full table": ("connect_failed", 2.0) if roll < 0.4 else good[:2],
            "errors": ("error_answer", 25.0) if roll < 0.7 else good[:2],
            "resets": ("connection_reset", 1200.0 if roll < 0.2 else 9.0) if roll < 0.7 else good[:2],
        }[phase]
        if duration > timeout_ms:
            outcome, duration = "timed_out", timeout_ms
        return outcome, duration, 0.0, {}, False


def play_day(folder):
    """Return (the events of the day, the state that the first process handed over as bytes)."""
    day = Day(folder)
    return day.play(), day.state

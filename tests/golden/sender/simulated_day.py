"""A seeded simulation for the simulator's protocol: sites, clients and receivers that react to the program's decisions.

It uses only the bytes of the protocol and no module of dewpin: `play_day(answer)` returns the batches and replies of a
simulated day, where `answer(batch)` returns the program's reply to the bytes of a batch. The same program gives the
same day. All times are milliseconds of the simulated clock.
"""

import heapq
import json
import random
import struct
from dataclasses import dataclass, field
from itertools import count

SEED = 61
TICK_MS = 5.0
START_MS = 1000.25
DAY_MS = 75_000.0

DELIVERED, ERROR, REJECTED, TIMED_OUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT = range(10, 90, 10)
GONE, READY, DRAINING = range(3)
DELTA, COMPLETE_LIST, CACHED_LIST, FAILED_LIST = range(4)
MARKED_AS_RETRY, IS_WRITE, FROM_KILLED_SENDER = 2, 4, 16

ATTEMPT, NOT_NOW, END_FAILED, DEFER, CLOSE_IDLE, DIE = 10, 20, 30, 50, 70, 100
ACTIONS = {
    ATTEMPT: ("attempt", struct.Struct("<BHQId")),
    NOT_NOW: ("not_now", struct.Struct("<BHQd")),
    END_FAILED: ("end_failed", struct.Struct("<BHQ")),
    40: ("undo_send", struct.Struct("<BHQB")),
    DEFER: ("defer", struct.Struct("<BHdI")),
    60: ("ask_load", struct.Struct("<BHI")),
    CLOSE_IDLE: ("close_idle", struct.Struct("<BHI")),
    80: ("publish", struct.Struct("<BHHH")),
    90: ("note_down", struct.Struct("<BHH")),
    DIE: ("die", struct.Struct("<BHH")),
    110: ("follow", struct.Struct("<BHB")),
    120: ("get_list", struct.Struct("<BH")),
}
WITH_TEXT = {80, 90, DIE}


def read_actions(reply):
    """Return the actions of a reply in order, as (name, sender, field, ...)."""
    at, actions = 8, []
    while at < len(reply):
        name, layout = ACTIONS[reply[at]]
        code, *fields = layout.unpack_from(reply, at)
        at += layout.size
        if code in WITH_TEXT:
            length = fields[-1]
            fields[-1] = reply[at : at + length]
            at += length
        actions.append((name, *fields))
    return actions


def split_batches(content):
    """Split a stream into batches or replies; both begin with a number and a length."""
    at, parts = 0, []
    while at < len(content):
        (length,) = struct.unpack_from("<I", content, at + 4)
        parts.append(content[at : at + 8 + length])
        at += 8 + length
    return parts


# -- the sites ----------------------------------------------------------------------------------------------------


def message_class(
    effect,
    *,
    goal_ms=2000.0,
    deadline_ms=12000.0,
    value=1.0,
    late_worth=0.4,
    retry_window_ms=6000.0,
    key_scope="all",
    **more,
):
    return {
        "Deadline": deadline_ms,
        "Effect": effect,
        "GoalTime": goal_ms,
        "KeyScope": key_scope,
        "LateWorth": late_worth,
        "Name": effect,
        "Streaming": False,
        "Value": value,
        "Window": retry_window_ms,
    } | more


def site_settings(
    classes, *, call_slots=6, max_open=60, attempts=6, max_bundles=(1, 1), has_own_limits=(False, False), **more
):
    """Return settings as the `provision` event of a site has them; `more` replaces top-level keys."""
    return {
        "Accounts": [{"Name": "first", "Portion": 0.7, "QuotaRps": 9.0}, {"Name": "second", "Portion": 0.3}],
        "Allowed": {
            "ConnectTimeout": 1500.0,
            "IdleClose": 4000.0,
            "MaxAttempts": attempts,
            "MaxOpen": max_open,
            "MaxRetryAfter": 2000.0,
            "MayDuplicate": False,
            "RetryAfter": True,
        },
        "Az": 0,
        "Callers": {"MarksRetry": False},
        "FamilyInfo": {
            "BundleMax": list(max_bundles),
            "CallSlots": call_slots,
            "Decay": "line",
            "OwnLimits": list(has_own_limits),
        },
        "FleetSize": 2,
        "Kinds": ["major", "small"],
        "Report": {"Fields": [], "How": "off"},
        "Rules": {
            "AnswerSlack": 20.0,
            "ColdFrom": 0.2,
            "DrainGrace": 1000.0,
            "FallMultiple": 2.0,
            "OverloadFor": 1000.0,
            "TurnGap": 100.0,
            "WarmAfter": 6000.0,
        },
        "Services": classes,
        "SlotNo": 0,
        "Tick": TICK_MS,
        "Weights": "off",
        "Zones": ["north", "south"],
    } | more


ALL_EFFECTS = [
    message_class("keyed", value=2.0),
    message_class("safe", goal_ms=1500.0, value=1.0, late_worth=0.2),
    message_class("unsafe", goal_ms=2500.0, deadline_ms=15000.0, value=4.0),
]
BY_ARRIVAL = [
    message_class("unsafe", value=4.0, ByArrival=True),
    message_class("keyed", retry_window_ms=4000.0, key_scope="zone", ByArrival=True),
    message_class("safe"),
]
SITES = {
    # all effects, shared limits, clients that do not mark retries
    "mixed": {"senders": 2, "rate": 7.0, "settings": site_settings(ALL_EFFECTS)},
    # limits per route, load reports, listed limits, and clients that mark retries
    "routes": {
        "senders": 2,
        "rate": 8.0,
        "settings": site_settings(
            [message_class("keyed", key_scope="zone"), message_class("safe", deadline_ms=9000.0)],
            has_own_limits=(True, True),
            call_slots=10,
            Callers={"MarksRetry": True},
            Report={"Fields": ["x0", "x1"], "How": "inline"},
            Weights="nominal",
        ),
    },
    # bundles, and a value that halves over time
    "bundles": {
        "senders": 1,
        "rate": 16.0,
        "settings": site_settings(
            [message_class("safe", goal_ms=800.0), message_class("keyed", retry_window_ms=3000.0, goal_ms=1200.0)],
            max_bundles=(4, 3),
            call_slots=4,
            FamilyInfo={"BundleMax": [4, 3], "CallSlots": 4, "Decay": "halves", "OwnLimits": [False, True]},
            Weights="rough",
        ),
    },
    # order by arrival per key
    "ordered": {"senders": 1, "rate": 9.0, "settings": site_settings(BY_ARRIVAL, call_slots=8)},
    # small capacity and few slots: messages are given up to free capacity
    "crowded": {
        "senders": 1,
        "rate": 14.0,
        "settings": site_settings(ALL_EFFECTS[:2], call_slots=2, max_open=20, attempts=3, Zones=["north"]),
    },
    # many senders with little traffic each; no slot number, no Retry-After for clients
    "sparse": {
        "senders": 2,
        "rate": 0.9,
        "settings": site_settings(ALL_EFFECTS, FleetSize=40)
        | {"Allowed": {"MaxAttempts": 6, "MaxOpen": 60, "IdleClose": 1500.0}},
    },
    # responses are lost, everything else works
    "lossy": {"senders": 1, "rate": 8.0, "settings": site_settings(ALL_EFFECTS[:2], call_slots=12)},
}
# (start, end, behavior) as shares of the day; assigned to destinations round robin
PHASES = [
    [(0.00, 0.20, "up"), (0.20, 0.40, "down"), (0.40, 0.62, "up"), (0.62, 0.74, "silent"), (0.74, 1.0, "up")],
    [(0.00, 0.25, "limited"), (0.25, 0.45, "limited, told"), (0.45, 0.65, "shut"), (0.65, 1.0, "limited")],
    [(0.00, 0.15, "full table"), (0.15, 0.35, "errors"), (0.35, 0.50, "resets"), (0.50, 0.70, "slow"),
     (0.70, 0.80, "shut, told"), (0.80, 1.0, "up")],
    [(0.00, 0.10, "silent"), (0.10, 0.30, "up"), (0.30, 0.50, "connect times out"), (0.50, 1.0, "full table")],
]  # fmt: skip
LOSSY_PHASES = [[(0.0, 1.0, "lossy")]]


@dataclass
class Receiver:
    ident: int
    destination: int
    zone: int
    kind: int
    weight: float
    state: int = READY

    def entry(self):
        return struct.pack("<BfHdHIH", self.state, self.weight, self.zone, 0.0, self.kind, self.ident, self.destination)


@dataclass
class Message:
    sender: int
    ticket: int
    queue_class: int
    destination: int
    key: int
    deadline_ms: float
    attempts: int = 0
    is_over: bool = False
    is_withdrawn: bool = False


@dataclass
class SenderProcess:
    """A sender process from its `provision` event to its `exit` event."""

    number: int
    site: str
    starts: int
    slots_taken: int = 0
    messages: dict[int, Message] = field(default_factory=dict)


class Day:
    def __init__(self, answer):
        self.answer = answer
        self.random = random.Random(SEED)
        self.now = START_MS
        self.queue, self.sequence = [], count()  # (due time, sequence number, action, arguments)
        self.tickets = count(1)
        self.batch, self.records = 0, []
        self.batches, self.replies = [], []
        self.receivers = {}  # site: receivers
        self.calls = {}  # destination or route: times of the recent calls that it accepted
        self.processes = {}
        self.banks = count()
        self.names = list(SITES)
        self.fleet = {}
        for at, (name, site) in enumerate(SITES.items()):
            self.receivers[name] = [
                Receiver(
                    1000 * at + 10 * destination + position, 100 * at + destination, position % 2, destination % 2, 4.0
                )
                for destination in range(4 if name != "lossy" else 2)
                for position in range(3 if destination < 2 else 2)
            ]
            for _ in range(site["senders"]):
                self.fleet[len(self.fleet) + 3] = name

    # -- events ---------------------------------------------------------------------------------------------------

    def after(self, ms, action, *arguments):
        heapq.heappush(self.queue, (self.now + max(0.0, ms), next(self.sequence), action, arguments))

    def event(self, code, layout, *fields, rest=b""):
        self.records.append(struct.pack("<B" + layout, code, *fields) + rest)

    def play(self):
        self.flush()  # an empty batch
        for number in self.fleet:
            self.after(self.random.uniform(0.0, 200.0), self.provision, number, 0)
        for moment in range(5, int(DAY_MS / 1000.0), 5):
            self.after(1000.0 * moment, self.change_lists, moment)
        for number, at in ((3, 0.3), (5, 0.55), (8, 0.35), (10, 0.5)):
            self.after(DAY_MS * at, self.restart, number)
        self.after(DAY_MS * 0.2, self.provision_invalid_senders)
        end = START_MS + DAY_MS
        while self.queue and self.queue[0][0] < end:
            due = self.queue[0][0]
            self.now = START_MS + TICK_MS * max(
                round((self.now - START_MS) / TICK_MS) + 1, -int(-(due - START_MS) // TICK_MS)
            )
            while self.queue and self.queue[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.queue)
                action(*arguments)
            if self.records or self.random.random() < 0.05:
                self.flush()
        return b"".join(self.batches), b"".join(self.replies)

    def flush(self):
        body = b"".join(self.records)
        batch = struct.pack("<IIId", self.batch, 12 + len(body), len(self.records), self.now) + body
        reply = self.answer(batch)
        self.batch, self.records = self.batch + 1, []
        self.batches.append(batch)
        self.replies.append(reply)
        calls = {}
        for name, sender, *fields in read_actions(reply):
            if name == "attempt":
                self.attempt(calls, sender, *fields)
            elif name == "defer":
                fire_at, handle = fields
                self.after(fire_at - self.now, self.wakeup, self.processes.get(sender), handle)
            elif name in ("not_now", "end_failed"):
                self.end_message(sender, name, *fields)
        for key, call in calls.items():
            self.call(key, call)

    # -- senders and lists ----------------------------------------------------------------------------------------

    def provision(self, number, starts):
        name = self.fleet[number]
        position = sorted(one for one, site in self.fleet.items() if site == name).index(number)
        settings = dict(SITES[name]["settings"], SlotNo=position, Az=position % 2)
        if name == "sparse":
            del settings["SlotNo"]
        content = json.dumps(settings).encode()
        seed = (number * 0x9E3779B97F4A7C15 + starts) % 2**64
        self.event(10, "HQI", number, seed, len(content), rest=content)
        process = self.processes[number] = SenderProcess(number, name, starts)
        self.send_list(number, CACHED_LIST, self.receivers[name])
        if starts == 0:
            self.after(self.random.expovariate(1.0) * 1000.0 / SITES[name]["rate"], self.submit_next, process)

    def send_list(self, number, kind, receivers):
        bank = next(self.banks) % 16
        if kind != FAILED_LIST:
            self.event(110, "II", bank, len(receivers), rest=b"".join(one.entry() for one in receivers))
        self.event(20, "HIBI", number, self.batch + 1, kind, bank)

    def change_lists(self, moment):
        for name, receivers in self.receivers.items():
            one = self.random.choice(receivers)
            change = self.random.randrange(6)
            if change == 0:
                one.state = DRAINING
            elif change == 1 and sum(other.destination == one.destination for other in receivers) > 1:
                one.state = GONE
            elif change == 2:
                one = Receiver(one.ident + 500 + moment, one.destination, one.zone, one.kind, one.weight)
                receivers.append(one)
            elif change == 3:
                one.weight = self.random.choice([0.0, 2.0, 6.5])
            else:
                one.state = READY
            for number, process in self.processes.items():
                if process.site != name:
                    continue
                if change == 5:
                    self.send_list(number, COMPLETE_LIST, [other for other in receivers if other.state != GONE])
                else:
                    self.send_list(number, DELTA, [one])
                if self.random.random() < 0.1:
                    self.send_list(number, FAILED_LIST, [])
            for other in [other for other in receivers if other.state == GONE]:
                receivers.remove(other)
            if change in (0, 1):  # receivers that left come back later
                returning = Receiver(one.ident, one.destination, one.zone, one.kind, one.weight)
                self.after(3000.0, self.return_receiver, name, returning)

    def return_receiver(self, name, returning):
        self.receivers[name] = [one for one in self.receivers[name] if one.ident != returning.ident] + [returning]
        for number, process in self.processes.items():
            if process.site == name:
                self.send_list(number, DELTA, [returning])

    def restart(self, number):
        """Kill and restart a sender; clients resubmit its messages to random senders of its site."""
        process = self.processes.pop(number)
        self.event(100, "H", number)
        self.provision(number, process.starts + 1)
        self.after(40.0, self.submit_next, self.processes[number])
        others = [one for one in self.processes.values() if one.site == process.site]
        for message in process.messages.values():
            unsafe = SITES[process.site]["settings"]["Services"][message.queue_class]["Effect"] == "unsafe"
            if not message.is_over and not (unsafe and message.attempts):
                bits = FROM_KILLED_SENDER | 1
                self.after(self.random.uniform(5.0, 900.0), self.resubmit, self.random.choice(others), message, bits)

    def provision_invalid_senders(self):
        """Provision senders with invalid settings; later events for them are ignored."""
        good = site_settings(ALL_EFFECTS)
        invalid_settings = [
            {key: value for key, value in good.items() if key != "Rules"},
            good | {"Rules": {"TurnGap": 1.0}},
            good | {"Services": [message_class("certain")]},
            good | {"Services": [{**message_class("keyed"), "Window": 1.0, "ByArrival": True}], "Rules": {}},
        ]
        for number, settings in enumerate(invalid_settings, 50):
            content = json.dumps(settings).encode()
            self.event(10, "HQI", number, number, len(content), rest=content)
            self.event(70, "HI", number, 1)

    # -- messages -------------------------------------------------------------------------------------------------

    def submit_next(self, process):
        if self.processes.get(process.number) is not process:
            return
        rate = SITES[process.site]["rate"]
        load_factor = 3.0 if (self.now // 7000.0) % 3 == 0 else 0.7
        self.after(self.random.expovariate(1.0) * 1000.0 / (rate * load_factor), self.submit_next, process)
        classes = SITES[process.site]["settings"]["Services"]
        queue_class = self.random.randrange(len(classes))
        destination = self.random.choice(sorted({one.destination for one in self.receivers[process.site]}))
        key = self.random.randrange(1, 7) if classes[queue_class].get("ByArrival") and self.random.random() < 0.9 else 0
        if process.site == "mixed" and self.random.random() < 0.3:
            key = self.random.getrandbits(63)
        left = classes[queue_class]["Deadline"]
        if self.random.random() < 0.05:
            left = self.random.choice([40.0, 400.0, 3000.0])
        bits = self.random.choice([0, 1, IS_WRITE])
        self.submit(process, queue_class, destination, key, left, bits)

    def resubmit(self, process, message, bits):
        if self.processes.get(process.number) is process and message.deadline_ms - self.now > 1.0:
            left = message.deadline_ms - self.now
            self.submit(process, message.queue_class, message.destination, message.key, left, bits)

    def submit(self, process, queue_class, destination, key, left, bits):
        pending_count = sum(not one.is_over for one in process.messages.values())
        if pending_count >= SITES[process.site]["settings"]["Allowed"]["MaxOpen"]:
            return
        ticket = next(self.tickets)
        message = Message(process.number, ticket, queue_class, destination, key, self.now + left)
        process.messages[ticket] = message
        account = self.random.randrange(2)
        load_hint = 12.0 if bits & 1 else 0.0
        self.event(
            30,
            "HQHHQddfB",
            process.number,
            ticket,
            queue_class,
            account,
            key,
            left,
            load_hint,
            float(destination),
            bits,
        )
        if self.random.random() < 0.04:
            self.after(self.random.uniform(1.0, 3000.0), self.withdraw, process, message)

    def withdraw(self, process, message):
        if self.processes.get(process.number) is process and not message.is_over:
            message.is_over = message.is_withdrawn = True
            self.event(60, "HQ", process.number, message.ticket)

    def end_message(self, sender, name, ticket, retry_after_ms=0.0):
        message = self.processes[sender].messages[ticket]
        message.is_over = True
        if name == "not_now" and self.random.random() < 0.6:
            process = self.processes[sender]
            marks = SITES[process.site]["settings"]["Callers"]["MarksRetry"]
            bits = MARKED_AS_RETRY if marks else 0
            self.after(retry_after_ms + self.random.uniform(20.0, 400.0), self.resubmit, process, message, bits)

    def wakeup(self, process, handle):
        if process and self.processes.get(process.number) is process:
            self.event(70, "HI", process.number, handle)
            if self.random.random() < 0.01:  # events that this program ignores
                receiver = self.receivers[process.site][0].ident
                self.event(80, "HIdHB", process.number, receiver, 7.5, DELIVERED, 1, rest=struct.pack("<f", 3.0))
                self.event(90, "HHH", process.number, 1, 2, rest=b"hi")

    # -- calls ----------------------------------------------------------------------------------------------------

    def attempt(self, calls, sender, ticket, receiver, limit):
        """Add an attempt to a call; attempts of one reply to one receiver share calls up to the bundle limit."""
        process = self.processes[sender]
        message = process.messages[ticket]
        message.attempts += 1
        settings = SITES[process.site]["settings"]
        target = next((one for one in self.receivers[process.site] if one.ident == receiver), None)
        max_bundle = settings["FamilyInfo"]["BundleMax"][target.kind] if target else 1
        number = 0
        while len(calls.get((sender, receiver, number), ())) >= max_bundle:
            number += 1
        calls.setdefault((sender, receiver, number), []).append((message, message.attempts - 1, limit))

    def call(self, key, attempts):
        sender, receiver, _ = key
        process = self.processes[sender]
        settings = SITES[process.site]["settings"]
        call_slots = settings["FamilyInfo"]["CallSlots"]
        if process.slots_taken >= call_slots or self.random.random() < 0.004:
            for message, number, _limit in attempts:
                is_full = int(process.slots_taken >= call_slots)
                self.after(0.0, self.finish_attempt, process, message, number, receiver, NOT_SENT, 0.0, is_full, False)
            return
        process.slots_taken += 1
        outcome, duration, note = self.draw_outcome(process.site, receiver)
        last = max(range(len(attempts)), key=lambda at: attempts[at][2])
        for at, (message, number, limit) in enumerate(attempts):
            left = message.deadline_ms - self.now
            limit = min(limit, left) if limit else left
            actual_outcome, actual_duration, actual_note = outcome, duration, note
            if actual_duration > limit:
                actual_outcome, actual_duration, actual_note = TIMED_OUT, max(0.0, limit), 0
            actual_duration = round(actual_duration, 3)
            self.after(
                actual_duration,
                self.finish_attempt,
                process,
                message,
                number,
                receiver,
                actual_outcome,
                actual_duration,
                actual_note,
                at == last,
            )

    def finish_attempt(self, process, message, number, receiver, outcome, duration, note, frees_slot):
        if self.processes.get(process.number) is not process:
            return
        process.slots_taken -= frees_slot
        complete = message.is_over or outcome == DELIVERED
        if outcome == DELIVERED:
            message.is_over = True
        load_report = []
        if SITES[process.site]["settings"]["Report"]["How"] == "inline" and outcome in (DELIVERED, ERROR, REJECTED):
            load_report = [self.random.choice([0.0, 0.5]), self.random.choice([0.0, 3.0, 8.0])]
        self.event(
            50,
            "HQBIHdBIB",
            process.number,
            message.ticket,
            number,
            receiver,
            outcome,
            duration,
            complete,
            note,
            len(load_report),
            rest=struct.pack(f"<{len(load_report)}f", *load_report),
        )

    def draw_outcome(self, site, ident):
        """Return (outcome, duration in ms, Retry-After in ms) of a call sent now to a receiver."""
        receiver = next((one for one in self.receivers[site] if one.ident == ident), None)
        if receiver is None:
            return CONNECT_FAILED, 3.0, 0
        behavior = self.behavior(site, receiver)
        draw = self.random.random()
        good = (DELIVERED, 20.0 + 120.0 * self.random.random() ** 3, 0)
        if behavior == "up":
            return (ERROR, 30.0, 0) if draw < 0.02 else (RESET, 9.0, 0) if draw < 0.03 else good
        if behavior.startswith("limited"):
            return self.limit_calls(site, receiver, good, sends_retry_after=behavior.endswith("told"))
        if behavior == "lossy":
            return (TIMED_OUT, 1e9, 0) if draw < 0.15 else (RESET, 15.0, 0) if draw < 0.22 else good
        if behavior == "full table":
            return (CONNECT_FAILED, 2.0, 0) if draw < 0.4 else good
        if behavior == "errors":
            return (ERROR, 25.0, 0) if draw < 0.7 else good
        if behavior == "resets":
            return (RESET, 1200.0 if draw < 0.2 else 12.0, 0) if draw < 0.8 else good
        if behavior == "slow":
            return DELIVERED, 900.0 + 2500.0 * draw, 0
        return {
            "down": (CONNECT_FAILED, 1.5, 0),
            "silent": (TIMED_OUT, 1e9, 0),
            "connect times out": (CONNECT_FAILED, 1500.0, 0),
            "shut": (REJECTED, 4.0, 0),
            "shut, told": (REJECTED, 4.0, 3000),
        }[behavior]

    def behavior(self, site, receiver):
        behaviors = LOSSY_PHASES if site == "lossy" else PHASES
        position = receiver.destination + (receiver.ident % 10 if any(self.has_own_limits(site)) else 0)
        periods = behaviors[position % len(behaviors)]
        share = min(0.9999, (self.now - START_MS) / DAY_MS)
        return next(behavior for begin, end, behavior in periods if begin <= share < end)

    def has_own_limits(self, site):
        return SITES[site]["settings"]["FamilyInfo"]["OwnLimits"]

    def limit_calls(self, site, receiver, good, sends_retry_after):
        """Apply a limit on the accepted calls of the last second."""
        limit_key = (
            receiver.ident if self.has_own_limits(site)[receiver.kind] else ("destination", receiver.destination)
        )
        recent = [at for at in self.calls.get(limit_key, ()) if at > self.now - 1000.0]
        if len(recent) >= (2 if self.random.random() < 0.5 else 3):
            return REJECTED, 2.0, int(1000.0 - (self.now - recent[0])) + 1 if sends_retry_after else 0
        self.calls[limit_key] = [*recent, self.now]
        return good


def play_day(answer):
    """Return (all batches, all replies) of the day, as bytes of the protocol."""
    return Day(answer).play()

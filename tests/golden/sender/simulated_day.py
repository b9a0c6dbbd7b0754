"""A seeded day for the simulator's wire: made-up sites, clients and receivers that answer the decisions under test.

It speaks only the bytes of the wire, so it needs no module of dewpin: `play_day(answer)` gives the batches and the
replies of one day, where `answer(batch)` gives the reply of the program to the bytes of a batch. The same program gives
the same day. All times are milliseconds of the simulated clock.
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

DELIVERED, ERROR, FULL, TIMED_OUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = range(10, 90, 10)
GONE, READY, DRAINING = range(3)
DELTA, WHOLE_LIST, CACHED_LIST, FAILED_LIST = range(4)
MARKED_AS_REPEAT, IS_WRITE, FROM_DEAD_SENDER = 2, 4, 16

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
    """The actions of a reply as (name, sender, field, ...), in their order."""
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
    """The single batches (or replies) of a stream: both begin with a number and a length."""
    at, parts = 0, []
    while at < len(content):
        (length,) = struct.unpack_from("<I", content, at + 4)
        parts.append(content[at : at + 8 + length])
        at += 8 + length
    return parts


# -- the sites ----------------------------------------------------------------------------------------------------


def message_class(effect, *, aim=2000.0, deadline=12000.0, value=1.0, late=0.4, window=6000.0, scope="all", **more):
    return {
        "Deadline": deadline,
        "Effect": effect,
        "GoalTime": aim,
        "KeyScope": scope,
        "LateWorth": late,
        "Name": effect,
        "Streaming": False,
        "Value": value,
        "Window": window,
    } | more


def site_settings(classes, *, slots=6, room=60, attempts=6, bundles=(1, 1), apart=(False, False), **more):
    """Settings as a site's `provision` carries them; `more` replaces keys of the top level."""
    return {
        "Accounts": [{"Name": "first", "Portion": 0.7, "QuotaRps": 9.0}, {"Name": "second", "Portion": 0.3}],
        "Allowed": {
            "ConnectTimeout": 1500.0,
            "IdleClose": 4000.0,
            "MaxAttempts": attempts,
            "MaxOpen": room,
            "MaxRetryAfter": 2000.0,
            "MayDuplicate": False,
            "RetryAfter": True,
        },
        "Az": 0,
        "Callers": {"MarksRetry": False},
        "FamilyInfo": {
            "BundleMax": list(bundles),
            "CallSlots": slots,
            "Decay": "line",
            "OwnLimits": list(apart),
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
    message_class("safe", aim=1500.0, value=1.0, late=0.2),
    message_class("unsafe", aim=2500.0, deadline=15000.0, value=4.0),
]
BY_ARRIVAL = [
    message_class("unsafe", value=4.0, ByArrival=True),
    message_class("keyed", window=4000.0, scope="zone", ByArrival=True),
    message_class("safe"),
]
SITES = {
    # all effects, shared limits, one sender marks nothing
    "mixed": {"senders": 2, "rate": 7.0, "settings": site_settings(ALL_EFFECTS)},
    # routes apart, with load reports, listed limits and marks of clients' repeats
    "routes": {
        "senders": 2,
        "rate": 8.0,
        "settings": site_settings(
            [message_class("keyed", scope="zone"), message_class("safe", deadline=9000.0)],
            apart=(True, True),
            slots=10,
            Callers={"MarksRetry": True},
            Report={"Fields": ["x0", "x1"], "How": "inline"},
            Weights="nominal",
        ),
    },
    # bundles of one kind of destination, worth that halves
    "bundles": {
        "senders": 1,
        "rate": 16.0,
        "settings": site_settings(
            [message_class("safe", aim=800.0), message_class("keyed", window=3000.0, aim=1200.0)],
            bundles=(4, 3),
            slots=4,
            FamilyInfo={"BundleMax": [4, 3], "CallSlots": 4, "Decay": "halves", "OwnLimits": [False, True]},
            Weights="rough",
        ),
    },
    # order by key
    "ordered": {"senders": 1, "rate": 9.0, "settings": site_settings(BY_ARRIVAL, slots=8)},
    # hardly any room and few slots: mails are given up to make room
    "crowded": {
        "senders": 1,
        "rate": 14.0,
        "settings": site_settings(ALL_EFFECTS[:2], slots=2, room=20, attempts=3, Zones=["north"]),
    },
    # many senders, of which each sees little; no place number, no advice to clients
    "sparse": {
        "senders": 2,
        "rate": 0.9,
        "settings": site_settings(ALL_EFFECTS, FleetSize=40)
        | {"Allowed": {"MaxAttempts": 6, "MaxOpen": 60, "IdleClose": 1500.0}},
    },
    # the way loses answers, all else is well
    "lossy": {"senders": 1, "rate": 8.0, "settings": site_settings(ALL_EFFECTS[:2], slots=12)},
}
# (from, to, what) of each destination in turn, over and over: shares of the day
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
    deadline: float
    attempts: int = 0
    over: bool = False
    withdrawn: bool = False


@dataclass
class Life:
    """One sender from a `provision` to its `exit`."""

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
        self.queue, self.order = [], count()  # (due, number, what to do then)
        self.tickets = count(1)
        self.batch, self.records = 0, []
        self.batches, self.replies = [], []
        self.receivers = {}  # site: receivers
        self.calls = {}  # destination or route: times of late calls that it took
        self.lives = {}
        self.banks = count()
        self.names = list(SITES)
        self.fleet = {}
        for at, (name, site) in enumerate(SITES.items()):
            self.receivers[name] = [
                Receiver(1000 * at + 10 * destination + place, 100 * at + destination, place % 2, destination % 2, 4.0)
                for destination in range(4 if name != "lossy" else 2)
                for place in range(3 if destination < 2 else 2)
            ]
            for _ in range(site["senders"]):
                self.fleet[len(self.fleet) + 3] = name

    # -- events ---------------------------------------------------------------------------------------------------

    def after(self, ms, action, *arguments):
        heapq.heappush(self.queue, (self.now + max(0.0, ms), next(self.order), action, arguments))

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
        self.after(DAY_MS * 0.2, self.misfits)
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
                self.after(fire_at - self.now, self.wakeup, self.lives.get(sender), handle)
            elif name in ("not_now", "end_failed"):
                self.ended(sender, name, *fields)
        for key, call in calls.items():
            self.call(key, call)

    # -- senders and lists ----------------------------------------------------------------------------------------

    def provision(self, number, starts):
        name = self.fleet[number]
        place = sorted(one for one, held in self.fleet.items() if held == name).index(number)
        settings = dict(SITES[name]["settings"], SlotNo=place, Az=place % 2)
        if name == "sparse":
            del settings["SlotNo"]
        text = json.dumps(settings).encode()
        seed = (number * 0x9E3779B97F4A7C15 + starts) % 2**64
        self.event(10, "HQI", number, seed, len(text), rest=text)
        life = self.lives[number] = Life(number, name, starts)
        self.tell_list(number, CACHED_LIST, self.receivers[name])
        if starts == 0:
            self.after(self.random.expovariate(1.0) * 1000.0 / SITES[name]["rate"], self.hand_in, life)

    def tell_list(self, number, kind, receivers):
        bank = next(self.banks) % 16
        if kind != FAILED_LIST:
            self.event(110, "II", bank, len(receivers), rest=b"".join(one.entry() for one in receivers))
        self.event(20, "HIBI", number, self.batch + 1, kind, bank)

    def change_lists(self, moment):
        for name, receivers in self.receivers.items():
            one = self.random.choice(receivers)
            what = self.random.randrange(6)
            if what == 0:
                one.state = DRAINING
            elif what == 1 and sum(held.destination == one.destination for held in receivers) > 1:
                one.state = GONE
            elif what == 2:
                one = Receiver(one.ident + 500 + moment, one.destination, one.zone, one.kind, one.weight)
                receivers.append(one)
            elif what == 3:
                one.weight = self.random.choice([0.0, 2.0, 6.5])
            else:
                one.state = READY
            for number, life in self.lives.items():
                if life.site != name:
                    continue
                if what == 5:
                    self.tell_list(number, WHOLE_LIST, [held for held in receivers if held.state != GONE])
                else:
                    self.tell_list(number, DELTA, [one])
                if self.random.random() < 0.1:
                    self.tell_list(number, FAILED_LIST, [])
            for held in [held for held in receivers if held.state == GONE]:
                receivers.remove(held)
            if what in (0, 1):  # those that left come back later, or others in their place
                back = Receiver(one.ident, one.destination, one.zone, one.kind, one.weight)
                self.after(3000.0, self.come_back, name, back)

    def come_back(self, name, back):
        self.receivers[name] = [one for one in self.receivers[name] if one.ident != back.ident] + [back]
        for number, life in self.lives.items():
            if life.site == name:
                self.tell_list(number, DELTA, [back])

    def restart(self, number):
        """A sender dies and starts again at once; its messages go to another one of its site, or to itself."""
        life = self.lives.pop(number)
        self.event(100, "H", number)
        self.provision(number, life.starts + 1)
        self.after(40.0, self.hand_in, self.lives[number])
        others = [one for one in self.lives.values() if one.site == life.site]
        for message in life.messages.values():
            unsafe = SITES[life.site]["settings"]["Services"][message.queue_class]["Effect"] == "unsafe"
            if not message.over and not (unsafe and message.attempts):
                bits = FROM_DEAD_SENDER | 1
                self.after(
                    self.random.uniform(5.0, 900.0), self.hand_in_again, self.random.choice(others), message, bits
                )

    def misfits(self):
        """Senders with settings that lack what a rule needs; what follows for them is passed over."""
        good = site_settings(ALL_EFFECTS)
        misfits = [
            {key: value for key, value in good.items() if key != "Rules"},
            good | {"Rules": {"TurnGap": 1.0}},
            good | {"Services": [message_class("certain")]},
            good | {"Services": [{**message_class("keyed"), "Window": 1.0, "ByArrival": True}], "Rules": {}},
        ]
        for number, settings in enumerate(misfits, 50):
            text = json.dumps(settings).encode()
            self.event(10, "HQI", number, number, len(text), rest=text)
            self.event(70, "HI", number, 1)

    # -- messages -------------------------------------------------------------------------------------------------

    def hand_in(self, life):
        if self.lives.get(life.number) is not life:
            return
        rate = SITES[life.site]["rate"]
        burst = 3.0 if (self.now // 7000.0) % 3 == 0 else 0.7
        self.after(self.random.expovariate(1.0) * 1000.0 / (rate * burst), self.hand_in, life)
        classes = SITES[life.site]["settings"]["Services"]
        queue_class = self.random.randrange(len(classes))
        destination = self.random.choice(sorted({one.destination for one in self.receivers[life.site]}))
        key = self.random.randrange(1, 7) if classes[queue_class].get("ByArrival") and self.random.random() < 0.9 else 0
        if life.site == "mixed" and self.random.random() < 0.3:
            key = self.random.getrandbits(63)
        left = classes[queue_class]["Deadline"]
        if self.random.random() < 0.05:
            left = self.random.choice([40.0, 400.0, 3000.0])
        bits = self.random.choice([0, 1, IS_WRITE])
        self.query(life, queue_class, destination, key, left, bits)

    def hand_in_again(self, life, message, bits):
        if self.lives.get(life.number) is life and message.deadline - self.now > 1.0:
            left = message.deadline - self.now
            self.query(life, message.queue_class, message.destination, message.key, left, bits)

    def query(self, life, queue_class, destination, key, left, bits):
        held = sum(not one.over for one in life.messages.values())
        if held >= SITES[life.site]["settings"]["Allowed"]["MaxOpen"]:
            return
        ticket = next(self.tickets)
        message = Message(life.number, ticket, queue_class, destination, key, self.now + left)
        life.messages[ticket] = message
        account = self.random.randrange(2)
        hint = 12.0 if bits & 1 else 0.0
        self.event(
            30, "HQHHQddfB", life.number, ticket, queue_class, account, key, left, hint, float(destination), bits
        )
        if self.random.random() < 0.04:
            self.after(self.random.uniform(1.0, 3000.0), self.withdraw, life, message)

    def withdraw(self, life, message):
        if self.lives.get(life.number) is life and not message.over:
            message.over = message.withdrawn = True
            self.event(60, "HQ", life.number, message.ticket)

    def ended(self, sender, name, ticket, hold_off=0.0):
        message = self.lives[sender].messages[ticket]
        message.over = True
        if name == "not_now" and self.random.random() < 0.6:
            life = self.lives[sender]
            marks = SITES[life.site]["settings"]["Callers"]["MarksRetry"]
            bits = MARKED_AS_REPEAT if marks else 0
            self.after(hold_off + self.random.uniform(20.0, 400.0), self.hand_in_again, life, message, bits)

    def wakeup(self, life, handle):
        if life and self.lives.get(life.number) is life:
            self.event(70, "HI", life.number, handle)
            if self.random.random() < 0.01:  # news that this program has no use for
                receiver = self.receivers[life.site][0].ident
                self.event(80, "HIdHB", life.number, receiver, 7.5, DELIVERED, 1, rest=struct.pack("<f", 3.0))
                self.event(90, "HHH", life.number, 1, 2, rest=b"hi")

    # -- calls ----------------------------------------------------------------------------------------------------

    def attempt(self, calls, sender, ticket, receiver, limit):
        """Puts an attempt into a call: those of one reply to one receiver share calls as far as bundles go."""
        life = self.lives[sender]
        message = life.messages[ticket]
        message.attempts += 1
        settings = SITES[life.site]["settings"]
        known = next((one for one in self.receivers[life.site] if one.ident == receiver), None)
        most = settings["FamilyInfo"]["BundleMax"][known.kind] if known else 1
        number = 0
        while len(calls.get((sender, receiver, number), ())) >= most:
            number += 1
        calls.setdefault((sender, receiver, number), []).append((message, message.attempts - 1, limit))

    def call(self, key, attempts):
        sender, receiver, _ = key
        life = self.lives[sender]
        settings = SITES[life.site]["settings"]
        slots = settings["FamilyInfo"]["CallSlots"]
        if life.slots_taken >= slots or self.random.random() < 0.004:
            for message, number, _limit in attempts:
                taken = int(life.slots_taken >= slots)
                self.after(0.0, self.returned, life, message, number, receiver, MOOT, 0.0, taken, False)
            return
        life.slots_taken += 1
        outcome, took, note = self.fate(life.site, receiver)
        last = max(range(len(attempts)), key=lambda at: attempts[at][2])
        for at, (message, number, limit) in enumerate(attempts):
            left = message.deadline - self.now
            limit = min(limit, left) if limit else left
            ending, lasts, told = outcome, took, note
            if lasts > limit:
                ending, lasts, told = TIMED_OUT, max(0.0, limit), 0
            lasts = round(lasts, 3)
            self.after(lasts, self.returned, life, message, number, receiver, ending, lasts, told, at == last)

    def returned(self, life, message, number, receiver, outcome, took, note, frees_slot):
        if self.lives.get(life.number) is not life:
            return
        life.slots_taken -= frees_slot
        complete = message.over or outcome == DELIVERED
        if outcome == DELIVERED:
            message.over = True
        gauge = []
        if SITES[life.site]["settings"]["Report"]["How"] == "inline" and outcome in (DELIVERED, ERROR, FULL):
            gauge = [self.random.choice([0.0, 0.5]), self.random.choice([0.0, 3.0, 8.0])]
        self.event(
            50,
            "HQBIHdBIB",
            life.number,
            message.ticket,
            number,
            receiver,
            outcome,
            took,
            complete,
            note,
            len(gauge),
            rest=struct.pack(f"<{len(gauge)}f", *gauge),
        )

    def fate(self, site, ident):
        """(outcome, ms, note) of a call that leaves now to a receiver."""
        receiver = next((one for one in self.receivers[site] if one.ident == ident), None)
        if receiver is None:
            return CONNECT_FAILED, 3.0, 0
        phase = self.phase(site, receiver)
        roll = self.random.random()
        good = (DELIVERED, 20.0 + 120.0 * self.random.random() ** 3, 0)
        if phase == "up":
            return (ERROR, 30.0, 0) if roll < 0.02 else (RESET, 9.0, 0) if roll < 0.03 else good
        if phase.startswith("limited"):
            return self.limited(site, receiver, good, told=phase.endswith("told"))
        if phase == "lossy":
            return (TIMED_OUT, 1e9, 0) if roll < 0.15 else (RESET, 15.0, 0) if roll < 0.22 else good
        if phase == "full table":
            return (CONNECT_FAILED, 2.0, 0) if roll < 0.4 else good
        if phase == "errors":
            return (ERROR, 25.0, 0) if roll < 0.7 else good
        if phase == "resets":
            return (RESET, 1200.0 if roll < 0.2 else 12.0, 0) if roll < 0.8 else good
        if phase == "slow":
            return DELIVERED, 900.0 + 2500.0 * roll, 0
        return {
            "down": (CONNECT_FAILED, 1.5, 0),
            "silent": (TIMED_OUT, 1e9, 0),
            "connect times out": (CONNECT_FAILED, 1500.0, 0),
            "shut": (FULL, 4.0, 0),
            "shut, told": (FULL, 4.0, 3000),
        }[phase]

    def phase(self, site, receiver):
        phases = LOSSY_PHASES if site == "lossy" else PHASES
        place = receiver.destination + (receiver.ident % 10 if any(self.apart(site)) else 0)
        held = phases[place % len(phases)]
        share = min(0.9999, (self.now - START_MS) / DAY_MS)
        return next(what for begin, end, what in held if begin <= share < end)

    def apart(self, site):
        return SITES[site]["settings"]["FamilyInfo"]["OwnLimits"]

    def limited(self, site, receiver, good, told):
        """A limit of so many calls in the second before, refused calls not counted."""
        limited = receiver.ident if self.apart(site)[receiver.kind] else ("destination", receiver.destination)
        lately = [at for at in self.calls.get(limited, ()) if at > self.now - 1000.0]
        if len(lately) >= (2 if self.random.random() < 0.5 else 3):
            return FULL, 2.0, int(1000.0 - (self.now - lately[0])) + 1 if told else 0
        self.calls[limited] = [*lately, self.now]
        return good


def play_day(answer):
    """(all batches, all replies) of the day, as bytes on the wire."""
    return Day(answer).play()

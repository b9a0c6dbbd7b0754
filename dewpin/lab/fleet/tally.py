"""What clients, receivers and agents saw of a run, and which of the six rules it broke. Never a sender's word.

It owns the record of a run and the judgement on it; it opens no socket. Times are ms since the run began.
"""
import random
from collections import Counter, defaultdict
from typing import Any

from .scenario import Scenario

SLACK = 350.0           # ms over a mail's time until its end must be known
AFTER = 1500.0          # ms after a sender is ready again for what it found in its folder
LEEWAY = 100.0          # ms for calls that were on their way as a wait was told, or a change
MOST_BREAKS = 200


def _at(sorted_: list[Any], share: float) -> Any:
    return sorted_[int(share * len(sorted_))] if sorted_ else None


class Hand:
    """One hand-in of a mail: an id is never used twice."""
    __slots__ = ("ident", "mail", "sender", "effect", "key", "destination", "at", "expires", "taken", "delivered",
                 "notice", "calls", "turn")

    def __init__(self, ident: str, mail: int, sender: int, effect: str, key: str, destination: int, at: float,
                 expires: float, turn: int) -> None:
        self.ident, self.mail, self.sender, self.effect = ident, mail, sender, effect
        self.key, self.destination, self.at, self.expires, self.turn = key, destination, at, expires, turn
        self.taken: float | None = None         # when its client heard 202
        self.delivered: float | None = None     # when a first line with 200 was written
        self.notice: tuple[float, str] | None = None
        self.calls: list[Call] = []


class Call:
    """A call that reached a receiver whole. `ran`: it was not turned away, so it may have run."""
    __slots__ = ("hand", "receiver", "sender", "at", "ran", "status", "done")

    def __init__(self, hand: Hand | None, receiver: str, sender: int, at: float) -> None:
        self.hand, self.receiver, self.sender, self.at = hand, receiver, sender, at
        self.ran, self.status, self.done = True, 0, 0.0


class Tally:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.leeway = scenario, LEEWAY + scenario.slack_ms
        self.hands: dict[str, Hand] = {}
        self.calls: list[Call] = []
        self.breaks: list[dict[str, Any]] = []
        self.unsure: list[dict[str, Any]] = []      # seen while the world itself was late
        self.lags: list[tuple[float, float]] = []   # (when it was over, ms) of a time in which it stood still
        self.told: dict[tuple[int, str], float] = {}            # (sender, receiver): told that it drains or is gone
        self.waits: dict[tuple[int, int], tuple[float, float]] = {}     # (sender, destination): told at, until
        # a sender's (time, killed/lost/ready); one that is stopped counts as killed
        self.lives: dict[int, list[tuple[float, str]]] = defaultdict(list)
        self.asked: list[tuple[float, int, int]] = []           # (time, sender, status) of calls for the list
        self.handshakes = 0
        self.ended: dict[int, tuple[str, float]] = {}           # mail: how its last hand-in ended, and when
        self.began: dict[int, float] = {}                       # mail: its first hand-in

    def broken(self, rule: str, at: float, hand: Hand | None, sender: int, words: str) -> None:
        if len(self.breaks) < MOST_BREAKS:
            self.breaks.append({"rule": rule, "at_ms": round(at, 1), "mail": hand.ident if hand else "",
                                "sender": sender, "what": words, "last": self._last(hand)})

    @staticmethod
    def _last(hand: Hand | None) -> list[str]:
        if hand is None:
            return []
        events = [(hand.at, "handed in")]
        events += [(call.at, f"called at {call.receiver}: {call.status}") for call in hand.calls]
        events += [(hand.taken, "taken on")] if hand.taken is not None else []
        events += [(hand.notice[0], hand.notice[1])] if hand.notice else []
        return [f"{at:.0f} {words}" for at, words in sorted(events)[-5:]]

    # -- as it happens -------------------------------------------------------------------------------------------

    def called(self, ident: str, receiver: str, destination: int, sender: int, at: float) -> Call:
        """A call's last byte has arrived: what must not be is told at once. `sender`: as its way tells, which may be
        one of several; whose mail it is tells more."""
        hand = self.hands.get(ident)
        sender = hand.sender if hand else sender
        call = Call(hand, receiver, sender, at)
        self.calls.append(call)
        if hand is None or hand.destination != destination:
            self.broken("own", at, hand, sender, f"a call at {receiver} that nobody handed in there")
            return call
        told = self.told.get((sender, receiver))
        if told is not None and at > told + self.scenario.receivers.drain_grace_ms + self.leeway:
            self.broken("drain", at, hand, sender, f"a call to {receiver} {at - told:.0f} ms after its end was told")
        since, until = self.waits.get((sender, destination), (0.0, 0.0))
        if since + self.leeway < at < until:
            self.broken("wait", at, hand, sender, f"a call {until - at:.0f} ms before a told wait is over")
        self._doubled(hand, call)
        hand.calls.append(call)
        return call

    def _doubled(self, hand: Hand, call: Call) -> None:
        ran = [one for one in hand.calls if one.ran]
        if not ran:
            return
        if hand.effect == "unsafe":
            self.broken("dup", call.at, hand, call.sender, "a further call of once-only mail that may have run")
        elif hand.effect == "keyed" and call.at > ran[0].at + self.scenario.load.window_ms + self.leeway:
            self.broken("dup", call.at, hand, call.sender, "a further call of tagged mail outside its window")

    def answered(self, call: Call, status: int, wait: float, destination: int, at: float) -> None:
        call.status, call.done, call.ran = status, at, status not in (429, 503)
        if wait > 0.0:
            self.waits[call.sender, destination] = at, at + wait
        if status == 200 and call.hand and call.hand.delivered is None:
            call.hand.delivered = at

    def noticed(self, ident: str, outcome: str, at: float) -> Hand | None:
        """The hand-in that a notice ends, the first time it is told."""
        hand = self.hands.get(ident)
        if hand is None or hand.notice:
            return None
        hand.notice = at, outcome
        if outcome == "handed_back" and hand.effect != "safe" and any(call.ran for call in hand.calls):
            if hand.effect == "unsafe":
                self.broken("dup", at, hand, hand.sender, "once-only mail that may have run was handed back")
        return hand

    def late(self, now: float, ms: float) -> None:
        if ms > LEEWAY / 2.0:
            self.lags.append((now, ms))

    # -- at the end ----------------------------------------------------------------------------------------------

    def judge(self, end: float) -> None:
        """Mails without an end, and keys out of order; what was seen while the world stood still is set apart, since
        it may have come before. `end`: until when the world listened."""
        for hand in self.hands.values():
            if hand.taken is None or hand.delivered is not None or hand.notice:
                continue
            due = self._due(hand)
            if due is not None and due < end:
                self.broken("lost", due, hand, hand.sender, "taken on, and neither delivered nor given up in time")
        self._order()
        for one in list(self.breaks):
            if any(at - ms - LEEWAY <= one["at_ms"] <= at + LEEWAY for at, ms in self.lags):
                self.breaks.remove(one)
                self.unsure.append(one)

    def _order(self) -> None:
        lines: dict[tuple[int, str], list[Hand]] = defaultdict(list)
        for hand in self.hands.values():
            if hand.key and hand.taken is not None:
                lines[hand.sender, hand.key].append(hand)
        for (sender, _), hands in lines.items():
            hands.sort(key=lambda one: one.turn)
            for before, after in zip(hands, hands[1:], strict=False):
                if before.calls and after.calls and after.calls[0].at < before.calls[-1].at:
                    self.broken("order", after.calls[0].at, after, sender, f"called before {before.ident} was over")

    def _due(self, hand: Hand) -> float | None:
        """When the end of a mail must be known at the latest; None: it is excused."""
        due = hand.expires + SLACK + self.scenario.slack_ms
        for at, what in self.lives[hand.sender]:
            if what == "lost" and at >= hand.at:
                return None             # its folder went with the process
            if what == "killed" and hand.at <= at <= due:
                due = float("inf")
            if what == "ready" and due == float("inf"):
                due = max(hand.expires + SLACK, at + AFTER) + self.scenario.slack_ms
        return None if due == float("inf") else due

    # -- figures -------------------------------------------------------------------------------------------------

    def figures(self, receivers: dict[str, tuple[int, float]]) -> dict[str, Any]:
        """What the run came to. `receivers`: destination and since when each could be called."""
        served = [call for call in self.calls if call.status == 200]
        end = max((call.at for call in self.calls), default=0.0)
        per: dict[str, int] = dict.fromkeys(receivers, 0)
        for call in self.calls:
            per[call.receiver] = per.get(call.receiver, 0) + 1
        fair: dict[int, list[int]] = defaultdict(list)
        for name, (destination, since) in receivers.items():
            if since <= 0.0:
                fair[destination].append(per[name])
        shares = [count * len(counts) / sum(counts) for counts in fair.values() if sum(counts) for count in counts]
        chance = self._chance(fair)
        bursts: dict[tuple[str, int], int] = defaultdict(int)
        for call in self.calls:
            bursts[call.receiver, int(call.at // 100.0)] += 1
        depth = self._depth()
        took = sorted(at - self.began[mail] for mail, (how, at) in self.ended.items() if how == "delivered")
        ends: dict[str, int] = defaultdict(int)
        for how, _ in self.ended.values():
            ends[how] += 1
        return {
            "mails": len(self.began), "ends": dict(ends), "calls": len(self.calls), "served": len(served),
            "turned_away": sum(call.status in (429, 503) for call in self.calls),
            "busiest": max(shares, default=0.0), "idlest": min(shares, default=0.0),
            "chance_busiest": chance[0], "chance_idlest": chance[1],
            "out_p50": _at(depth, 0.5), "out_p99": _at(depth, 0.99),
            "most_in_100_ms": max(bursts.values(), default=0),
            "newcomers": {name: round(per[name] * 1000.0 / max(1.0, end - since), 2)
                          for name, (_, since) in receivers.items() if since > 0.0},
            "median_ms": _at(took, 0.5), "p99_ms": _at(took, 0.99),
            "handshakes_a_mail": self.handshakes / max(1, len(self.began)),
            "list_calls": len(self.asked), "list_calls_turned_away": sum(one[2] == 503 for one in self.asked),
            "broken": len(self.breaks), "unsure": len(self.unsure),
            "world_late_ms": round(max((ms for _, ms in self.lags), default=0.0), 1)}

    @staticmethod
    def _chance(fair: dict[int, list[int]]) -> tuple[float, float]:
        """The busiest and the idlest share that a uniform choice gives on as many calls, a mean of twenty draws."""
        dice, most, least = random.Random(1), 0.0, 0.0
        for _ in range(20):
            shares = []
            for counts in fair.values():
                drawn = Counter(dice.choices(range(len(counts)), k=sum(counts)))
                shares += [drawn[one] * len(counts) / max(1, sum(counts)) for one in range(len(counts))]
            most, least = most + max(shares, default=0.0) / 20.0, least + min(shares, default=0.0) / 20.0
        return most, least

    def _depth(self) -> list[int]:
        """Calls out at a receiver as each call came, itself among them, in order."""
        out: dict[str, list[float]] = defaultdict(list)
        seen = []
        for call in self.calls:
            held = [done for done in out[call.receiver] if done > call.at]
            held.append(call.done or call.at + self.scenario.load.lifetime_ms)
            out[call.receiver] = held
            seen.append(len(held))
        return sorted(seen)

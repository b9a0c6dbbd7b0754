"""How evenly senders that share nothing load equal receivers: the dispatcher beside a uniform choice and a turn by
one for all, on the same arrivals, in simulated time.

    python benchmarks/spread.py [--senders 300] [--receivers 12] [--rate 120] [--seconds 60] [--numbered]

Prints for each way of choosing the busiest and the idlest receiver's calls over their share, the 99th percentile of
calls out at a receiver, and what a receiver gets of its share that joins in the middle.
"""

import heapq
import random

import click

from dewpin.core import model
from dewpin.core.dispatcher import Dispatcher

CALL_MS = 200.0


def settings(senders, number):
    told = {
        "Allowed": {"MaxAttempts": 6, "MaxOpen": 200, "IdleClose": 15000.0},
        "FleetSize": senders,
        "Tick": 5.0,
        "FamilyInfo": {"CallSlots": 8},
        "Az": 0,
        "Rules": {
            "DrainGrace": 1000.0,
            "ColdFrom": 0.2,
            "WarmAfter": 9000.0,
            "FallMultiple": 2.0,
            "OverloadFor": 2000.0,
        },
        "Services": [{"Deadline": 16000.0, "Effect": "safe", "GoalTime": 2000.0, "Value": 1.0, "LateWorth": 0.4}],
    }
    return told if number is None else told | {"SlotNo": number}


class Dispatchers:
    """Senders with a dispatcher each."""

    def __init__(self, senders, receivers, numbered):
        self.dispatchers = [Dispatcher(settings(senders, n if numbered else None), n) for n in range(senders)]
        self.destinations = [model.Destination(1) for _ in range(senders)]
        for _ in range(receivers):
            self.join()

    def join(self):
        for destination in self.destinations:
            model.Receiver(len(destination.receivers), destination)

    def send(self, sender, now):
        dispatcher, message = (
            self.dispatchers[sender],
            model.Message(now, self.destinations[sender], now, now + 16000.0),
        )
        dispatcher.dispatch(message, now)
        ms, due = dispatcher.next_due(now)
        receiver = dispatcher.dispatch(due, now).receiver if due and ms == 0.0 else None
        return getattr(receiver, "receiver_id", None), message

    def end(self, sender, message, now):
        message.duration_ms = CALL_MS
        self.dispatchers[sender].record_outcome(message, model.Outcome.DELIVERED, now)


class Choice:
    """Calls that a rule chooses: of how many receivers, which?"""

    def __init__(self, receivers, rule):
        self.receivers, self.rule = receivers, rule

    def join(self):
        self.receivers += 1

    def send(self, sender, now):
        return self.rule(self.receivers), None

    def end(self, sender, message, now):
        pass


def play(way, arrivals, receivers):
    calls, out, depth, ends = [[], []], [0] * (receivers + 1), [], []
    half = arrivals[-1][0] / 2.0
    for now, sender in arrivals:
        while ends and ends[0][0] <= now:
            at, _, number, message, receiver = heapq.heappop(ends)
            out[receiver] -= 1
            way.end(number, message, at)
        if now >= half and not calls[1]:
            way.join()
        receiver, message = way.send(sender, now)
        if receiver is None:
            continue
        calls[now >= half].append(receiver)
        out[receiver] += 1
        depth.append(out[receiver])
        heapq.heappush(ends, (now + CALL_MS, len(depth), sender, message, receiver))
    shares = [calls[0].count(one) * receivers / len(calls[0]) for one in range(receivers)]
    newcomer = calls[1].count(receivers) * (receivers + 1) / len(calls[1])
    return max(shares), min(shares), sorted(depth)[int(0.99 * len(depth))], newcomer


@click.command()
@click.option("--senders", default=300)
@click.option("--receivers", default=12)
@click.option("--rate", default=120.0, help="messages a second in all")
@click.option("--seconds", default=60.0)
@click.option("--numbered", is_flag=True, help="the settings tell each sender its number")
def main(senders, receivers, rate, seconds, numbered):
    rng, now, arrivals = random.Random(1), 0.0, []
    while now < 1000.0 * seconds:
        now += rng.expovariate(rate / 1000.0)
        arrivals.append((now, rng.randrange(senders)))
    turn = iter(range(10**9))
    for name, way in (
        ("module", Dispatchers(senders, receivers, numbered)),
        ("uniform", Choice(receivers, rng.randrange)),
        ("one turn for all", Choice(receivers, lambda count: next(turn) % count)),
    ):
        most, least, depth, newcomer = play(way, arrivals, receivers)
        print(f"{name:18} busiest {most:.2f}  idlest {least:.2f}  out at p99 {depth}  newcomer {newcomer:.2f}")


if __name__ == "__main__":
    main()

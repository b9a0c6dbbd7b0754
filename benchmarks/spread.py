"""Measures how evenly independent senders load equal receivers.

Compares the dispatcher with a uniform random choice and with a global round robin, on the same arrivals, in simulated
time.

    python benchmarks/spread.py [--senders 300] [--receivers 12] [--rate 120] [--seconds 60] [--numbered]

Prints for each policy: calls of the busiest and of the idlest receiver, relative to an equal share; the 99th percentile
of calls in progress at a receiver; calls of a receiver that joins halfway, relative to an equal share.
"""

import heapq
import random

import click

from dewpin.core import model
from dewpin.core.dispatcher import Dispatcher

CALL_MS = 200.0


def settings(senders, number):
    fleet_settings = {
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
    return fleet_settings if number is None else fleet_settings | {"SlotNo": number}


class Dispatchers:
    """Chooses receivers with a dispatcher for each sender."""

    def __init__(self, senders, receivers, numbered):
        self.dispatchers = [
            Dispatcher(settings(senders, number if numbered else None), number) for number in range(senders)
        ]
        self.destinations = [model.Destination(1) for _ in range(senders)]
        for _ in range(receivers):
            self.join()

    def join(self):
        for destination in self.destinations:
            model.Receiver(len(destination.receivers), destination)

    def send(self, sender, now_ms):
        dispatcher, message = (
            self.dispatchers[sender],
            model.Message(now_ms, self.destinations[sender], now_ms, now_ms + 16000.0),
        )
        dispatcher.dispatch(message, now_ms)
        delay_ms, due = dispatcher.next_due(now_ms)
        receiver = dispatcher.dispatch(due, now_ms).receiver if due and delay_ms == 0.0 else None
        return getattr(receiver, "receiver_id", None), message

    def complete(self, sender, message, now_ms):
        message.duration_ms = CALL_MS
        self.dispatchers[sender].record_outcome(message, model.Outcome.DELIVERED, now_ms)


class IndexChoice:
    """Chooses receivers with a function from the number of receivers to the index of one."""

    def __init__(self, receivers, choose):
        self.receivers, self.choose = receivers, choose

    def join(self):
        self.receivers += 1

    def send(self, sender, now_ms):
        return self.choose(self.receivers), None

    def complete(self, sender, message, now_ms):
        pass


def simulate(policy, arrivals, receivers):
    calls, in_progress, depths, completions = [[], []], [0] * (receivers + 1), [], []
    half_ms = arrivals[-1][0] / 2.0
    for now_ms, sender in arrivals:
        while completions and completions[0][0] <= now_ms:
            completed_at, _, number, message, receiver = heapq.heappop(completions)
            in_progress[receiver] -= 1
            policy.complete(number, message, completed_at)
        if now_ms >= half_ms and not calls[1]:
            policy.join()
        receiver, message = policy.send(sender, now_ms)
        if receiver is None:
            continue
        calls[now_ms >= half_ms].append(receiver)
        in_progress[receiver] += 1
        depths.append(in_progress[receiver])
        heapq.heappush(completions, (now_ms + CALL_MS, len(depths), sender, message, receiver))
    shares = [calls[0].count(receiver) * receivers / len(calls[0]) for receiver in range(receivers)]
    joined = calls[1].count(receivers) * (receivers + 1) / len(calls[1])
    return max(shares), min(shares), sorted(depths)[int(0.99 * len(depths))], joined


@click.command()
@click.option("--senders", default=300)
@click.option("--receivers", default=12)
@click.option("--rate", default=120.0, help="messages per second, all senders together")
@click.option("--seconds", default=60.0)
@click.option("--numbered", is_flag=True, help="configure each sender with its number")
def main(senders, receivers, rate, seconds, numbered):
    rng, now_ms, arrivals = random.Random(1), 0.0, []
    while now_ms < 1000.0 * seconds:
        now_ms += rng.expovariate(rate / 1000.0)
        arrivals.append((now_ms, rng.randrange(senders)))
    counter = iter(range(10**9))
    for name, policy in (
        ("module", Dispatchers(senders, receivers, numbered)),
        ("uniform", IndexChoice(receivers, rng.randrange)),
        ("global round robin", IndexChoice(receivers, lambda count: next(counter) % count)),
    ):
        busiest, idlest, depth, joined = simulate(policy, arrivals, receivers)
        print(f"{name:18} busiest {busiest:.2f}  idlest {idlest:.2f}  in progress at p99 {depth}  joined {joined:.2f}")


if __name__ == "__main__":
    main()

"""The metrics of a load test, in the format of `result.json`."""

import random
from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any, NamedTuple

from .records import REJECTION_STATUSES, MessageOutcome, ReceivedCall
from .result_collector import ResultCollector

BURST_INTERVAL_MS = 100.0
UNIFORM_DRAWS = 20


class ReceiverOrigin(NamedTuple):
    """Destination of a receiver, and the time in ms when it joined; 0 or less: before the load began."""

    destination: int
    since_ms: float


class BalanceRange(NamedTuple):
    """Calls of the busiest and the idlest receiver, as multiples of an even share."""

    busiest: float
    idlest: float


def collect_metrics(
    collector: ResultCollector, receivers: dict[str, ReceiverOrigin], lifetime_ms: float
) -> dict[str, Any]:
    """Return the metrics.

    Args:
        collector: the recorded results of the test.
        receivers: all receivers by name.
        lifetime_ms: lifetime of a message; a call without a response counts as in flight for this time.
    """
    calls = collector.calls
    calls_by_receiver: dict[str, int] = dict.fromkeys(receivers, 0)
    for call in calls:
        calls_by_receiver[call.receiver] = calls_by_receiver.get(call.receiver, 0) + 1
    counts = _counts_by_destination(receivers, calls_by_receiver)
    balance, uniform = _balance(counts), _uniform_balance(counts)
    in_flight = _calls_in_flight(calls, lifetime_ms)
    latencies_ms = sorted(
        result.at_ms - collector.first_submissions_ms[message]
        for message, result in collector.message_results.items()
        if result.end == MessageOutcome.DELIVERED
    )
    outcome_counts: dict[str, int] = defaultdict(int)
    for result in collector.message_results.values():
        outcome_counts[result.end.value] += 1
    message_count = len(collector.first_submissions_ms)
    return {
        "mails": message_count,
        "ends": dict(outcome_counts),
        "calls": len(calls),
        "served": sum(call.status == 200 for call in calls),
        "turned_away": sum(call.status in REJECTION_STATUSES for call in calls),
        "busiest": balance.busiest,
        "idlest": balance.idlest,
        "chance_busiest": uniform.busiest,
        "chance_idlest": uniform.idlest,
        "out_p50": _quantile(in_flight, 0.5),
        "out_p99": _quantile(in_flight, 0.99),
        "most_in_100_ms": _largest_burst(calls),
        "newcomers": _joined_receiver_rates(receivers, calls_by_receiver, calls),
        "median_ms": _quantile(latencies_ms, 0.5),
        "p99_ms": _quantile(latencies_ms, 0.99),
        "handshakes_a_mail": collector.handshakes / max(1, message_count),
        "list_calls": len(collector.list_requests),
        "list_calls_turned_away": sum(status == 503 for _, _, status in collector.list_requests),
        "broken": len(collector.checker.violations),
        "unsure": len(collector.checker.uncertain_violations),
        "world_late_ms": round(max((lag_ms for _, lag_ms in collector.lags), default=0.0), 1),
    }


def _quantile(ordered: Sequence[Any], share: float) -> Any:
    return ordered[int(share * len(ordered))] if ordered else None


def _counts_by_destination(
    receivers: dict[str, ReceiverOrigin], calls_by_receiver: dict[str, int]
) -> dict[int, list[int]]:
    """Return by destination the call counts of the receivers that were present from the start."""
    counts: dict[int, list[int]] = defaultdict(list)
    for name, origin in receivers.items():
        if origin.since_ms <= 0.0:
            counts[origin.destination].append(calls_by_receiver[name])
    return counts


def _balance(counts_by_destination: dict[int, list[int]]) -> BalanceRange:
    shares = [
        count * len(counts) / sum(counts)
        for counts in counts_by_destination.values()
        if sum(counts)
        for count in counts
    ]
    return BalanceRange(max(shares, default=0.0), min(shares, default=0.0))


def _uniform_balance(counts_by_destination: dict[int, list[int]]) -> BalanceRange:
    """Return the balance of a uniform random choice for the same number of calls, averaged over some draws."""
    random_source = random.Random(1)
    busiest = idlest = 0.0
    for _ in range(UNIFORM_DRAWS):
        shares = []
        for counts in counts_by_destination.values():
            drawn = Counter(random_source.choices(range(len(counts)), k=sum(counts)))
            shares += [drawn[index] * len(counts) / max(1, sum(counts)) for index in range(len(counts))]
        busiest += max(shares, default=0.0) / UNIFORM_DRAWS
        idlest += min(shares, default=0.0) / UNIFORM_DRAWS
    return BalanceRange(busiest, idlest)


def _calls_in_flight(calls: list[ReceivedCall], lifetime_ms: float) -> list[int]:
    """Return for each call how many calls were in flight at its receiver on arrival, itself included; sorted."""
    ends_by_receiver: dict[str, list[float]] = defaultdict(list)
    in_flight_counts = []
    for call in calls:
        ends_ms = [end_ms for end_ms in ends_by_receiver[call.receiver] if end_ms > call.at_ms]
        ends_ms.append(call.responded_at_ms or call.at_ms + lifetime_ms)
        ends_by_receiver[call.receiver] = ends_ms
        in_flight_counts.append(len(ends_ms))
    return sorted(in_flight_counts)


def _largest_burst(calls: list[ReceivedCall]) -> int:
    counts_by_interval: dict[tuple[str, int], int] = defaultdict(int)
    for call in calls:
        counts_by_interval[call.receiver, int(call.at_ms // BURST_INTERVAL_MS)] += 1
    return max(counts_by_interval.values(), default=0)


def _joined_receiver_rates(
    receivers: dict[str, ReceiverOrigin], calls_by_receiver: dict[str, int], calls: list[ReceivedCall]
) -> dict[str, float]:
    """Return the calls per second of each receiver that joined later."""
    end_ms = max((call.at_ms for call in calls), default=0.0)
    return {
        name: round(calls_by_receiver[name] * 1000.0 / max(1.0, end_ms - origin.since_ms), 2)
        for name, origin in receivers.items()
        if origin.since_ms > 0.0
    }

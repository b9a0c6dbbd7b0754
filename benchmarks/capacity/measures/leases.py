"""Leases, and heartbeats between control servers: bytes of records and messages, processor time of a renewal."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.capacity import shapes
from benchmarks.capacity.series import ONCE, Effort, Series, processor_series, sample
from dewpin.cluster.netstring import encode
from dewpin.controlplane.membership.leases import LeaseTable
from dewpin.controlplane.membership.peers import PeerDescription

LEASES_MODULE = "dewpin/controlplane/membership/leases.py"
SENDERS = (30, 100, 350, 1_000)
CONTROL_SERVERS = (3, 5, 9, 15)
RENEWAL_INTERVAL_S = 2.8
LEASE_S = 42.0


def lease_bytes(_: Effort) -> Series:
    """Measure the bytes of all lease records as JSON, by the number of senders."""
    points = sample(
        SENDERS, ONCE, lambda senders: float(sum(len(shapes.encode(shapes.lease(number))) for number in range(senders)))
    )
    return Series(
        "lease-bytes", "bytes of all lease records, as JSON", "stand-in", "senders", "bytes of records", "B", points
    )


def lease_renew(effort: Effort) -> Series:
    """Measure a control server's processor time to renew a lease and to choose the parents in the relay tree."""

    def prepare(senders: int) -> Callable[[], object]:
        table = LeaseTable(RENEWAL_INTERVAL_S)
        names = [f"sender-{number:04d}/{number:012x}" for number in range(senders)]
        for number, name in enumerate(names):
            table.renew(name, f"10.0.{number // 250}.{number % 250}:7381", "zone", 0.0)

        def renew() -> None:
            table.renew(names[0], "10.0.0.0:7381", "zone", 1.0)
            table.parents(names[0], 1.0)
            table.live(1.0)

        return renew

    return processor_series(
        "lease-renew",
        "renew a lease and find its sender's parents",
        LEASES_MODULE,
        "senders",
        "processor time a renewal",
        SENDERS,
        effort,
        prepare,
    )


def lease_reply_bytes(_: Effort) -> Series:
    """Measure the bytes of the reply to a renewal, by the number of control servers in it."""

    def measure_at(control_servers: int) -> float:
        reply = {
            "type": "lease.granted",
            "duration_s": LEASE_S,
            "state_version": 851,
            "receivers_version": [4711, "0123456789abcdef"],
            "list_age_s": 0.123456789012,
            "parents": [f"10.0.{number}.9:7381" for number in range(4)],
            "keepers": [f"10.0.{number}.4:7380" for number in range(control_servers)],
            "senders": 350,
        }
        return float(len(encode({"v": 1, "r": 12345, "m": reply})))

    return Series(
        "lease-answer-bytes",
        "bytes of a renewal's answer",
        "the shape of dewpin/controlplane/control_server.py",
        "control servers named",
        "bytes of an answer",
        "B",
        sample(CONTROL_SERVERS, ONCE, measure_at),
    )


def heartbeat_bytes(_: Effort) -> Series:
    """Measure the bytes of a round of heartbeats of a control server without changes, by the number of control servers.

    Includes requests and replies.
    """
    record = PeerDescription(
        id="0123456789abcdef",
        name="core-zone-1-1",
        address="10.0.1.4:7380",
        serves_control=True,
        serves_store=False,
        version=851,
        synced_epoch=17,
        is_leaving=False,
        is_bootstrap=True,
        has_list_failed=False,
    ).encode()
    version = [4711, "0123456789abcdef"]
    request = encode({"v": 1, "n": 12345, "m": {"type": "keeper.hello", "from": record, "receivers": version}})
    reply = encode({"v": 1, "r": 12345, "m": {"type": "keeper.hello", "from": record, "list_age_s": 0.123456789012}})
    points = sample(
        CONTROL_SERVERS, ONCE, lambda control_servers: float(control_servers - 1) * (len(request) + len(reply))
    )
    return Series(
        "hello-bytes",
        "bytes of one round of greetings of a control server to all others",
        "the shape of dewpin/controlplane/control_server.py",
        "control_servers",
        "bytes a round",
        "B",
        points,
    )

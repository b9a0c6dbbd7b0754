"""Control state: configuration, list of receivers, leases, and the choice of stores."""

from __future__ import annotations

import hashlib
import json

from benchmarks.capacity import shapes
from benchmarks.capacity.series import Effort, Series, sample
from benchmarks.capacity.timing import in_fresh_process, processor_us_per_call, resident_bytes

STAND_IN = "stand-in"
ROUTES = (50, 200, 500, 1_000, 2_000)
RECEIVERS = (30, 100, 300, 800)
LEASES = (30, 100, 350, 1_000)
KEEPERS = (3, 5, 9, 15)
STORES = (3, 9, 30, 90)
ONCE = Effort(seconds=0, repeats=1)


def configuration_bytes(_: Effort) -> Series:
    """Bytes of a configuration as the operator sends it, by its routes."""
    points = sample(ROUTES, ONCE, lambda routes: float(len(shapes.configuration(routes))))
    return Series(
        "configuration-bytes",
        "bytes of a whole configuration",
        STAND_IN,
        "routes",
        "bytes of a configuration",
        "B",
        points,
    )


def configuration_parse(effort: Effort) -> Series:
    """Processor time to read and check a configuration, by its routes."""

    def check(body: bytes) -> dict[tuple[str, str], str]:
        held = json.loads(body)
        services = {service["name"] for service in held["services"]}
        found: dict[tuple[str, str], str] = {}
        for route in held["routes"]:
            key = route["hostname"], route["path_prefix"]
            if route["backend"] not in services or key in found or route["timeout_ms"] <= 0:
                raise ValueError(route["name"])
            found[key] = route["backend"]
        return found

    def at(routes: int) -> float:
        body = shapes.configuration(routes)
        return processor_us_per_call(lambda: check(body), effort.seconds)

    return Series(
        "configuration-parse",
        "read and check a whole configuration",
        STAND_IN,
        "routes",
        "processor time a configuration",
        "µs",
        sample(ROUTES, effort, at),
    )


def resident_with_configuration(routes: int) -> float:
    """Resident bytes of a process that holds a parsed configuration and its text; run in a process of its own."""
    body = shapes.configuration(routes)
    held = json.loads(body)
    return float(resident_bytes()) if held and body else 0.0


def configuration_memory(effort: Effort) -> Series:
    """Memory of a configuration held parsed and as text, by its routes."""
    return Series(
        "configuration-memory",
        "memory of a process with a configuration, parsed and as text",
        STAND_IN,
        "routes",
        "resident memory",
        "B",
        sample(ROUTES, effort, lambda routes: in_fresh_process(resident_with_configuration, routes)),
    )


def resident_with_receivers(entries: int) -> float:
    """Resident bytes of a process that holds a parsed list of receivers; run in a process of its own."""
    held = json.loads(shapes.receiver_list(entries))
    return float(resident_bytes()) if held else 0.0


def receiver_memory(effort: Effort) -> Series:
    """Memory of a list of receivers held parsed."""
    return Series(
        "receiver-memory",
        "memory of a process with a list of receivers, parsed",
        STAND_IN,
        "receivers",
        "resident memory",
        "B",
        sample(RECEIVERS, effort, lambda entries: in_fresh_process(resident_with_receivers, entries)),
    )


def receiver_bytes(_: Effort) -> Series:
    """Bytes of a message with the whole list of receivers."""
    points = sample(RECEIVERS, ONCE, lambda entries: float(len(shapes.receiver_list(entries))))
    return Series(
        "receiver-bytes", "bytes of a whole list of receivers", STAND_IN, "receivers", "bytes of a list", "B", points
    )


def receiver_parse(effort: Effort) -> Series:
    """Processor time to read a whole list of receivers."""

    def at(entries: int) -> float:
        body = shapes.receiver_list(entries)
        return processor_us_per_call(lambda: {one["id"]: one for one in json.loads(body)["receivers"]}, effort.seconds)

    return Series(
        "receiver-parse",
        "read a whole list of receivers",
        STAND_IN,
        "receivers",
        "processor time a list",
        "µs",
        sample(RECEIVERS, effort, at),
    )


def lease_bytes(_: Effort) -> Series:
    """Bytes of the lease records of so many senders, as JSON."""
    points = sample(LEASES, ONCE, lambda leases: float(sum(len(shapes.encode(shapes.lease(n))) for n in range(leases))))
    return Series("lease-bytes", "bytes of all lease records", STAND_IN, "senders", "bytes of records", "B", points)


def lease_answer_bytes(_: Effort) -> Series:
    """Bytes of the answer to a renewal, by the keepers it names."""
    points = sample(KEEPERS, ONCE, lambda keepers: float(len(shapes.encode(shapes.lease_answer(keepers)))))
    return Series(
        "lease-answer-bytes",
        "bytes of a renewal's answer",
        STAND_IN,
        "keepers named",
        "bytes of an answer",
        "B",
        points,
    )


def rank_stores(program: str, stores: list[str]) -> list[str]:
    """Rendezvous order of the stores for a program."""
    return sorted(stores, key=lambda store: hashlib.blake2b(f"{program}/{store}".encode(), digest_size=8).digest())


def rendezvous(effort: Effort) -> Series:
    """Processor time to choose a program's stores, by the stores in the view."""

    def at(count: int) -> float:
        stores = [f"{number:032x}" for number in range(count)]
        return processor_us_per_call(lambda: rank_stores("3fa81c", stores), effort.seconds)

    return Series(
        "rendezvous",
        "rendezvous order of the stores for a program",
        STAND_IN,
        "stores",
        "processor time a program",
        "µs",
        sample(STORES, effort, at),
    )

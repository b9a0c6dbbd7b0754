"""The list of receivers: encoded bytes, processor time to encode, apply and read it, memory."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial

from benchmarks.capacity import shapes
from benchmarks.capacity.series import ONCE, Effort, Series, memory_series, message_series, processor_series, sample
from benchmarks.capacity.timing import resident_bytes
from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.receivers import DirectoryVersion, ReceiverDirectory, receiver_from_platform, receiver_from_record

RECEIVERS_MODULE = "dewpin/cluster/receivers.py"
RECEIVERS = (30, 100, 300, 800)


def directory(count: int) -> ReceiverDirectory:
    """Return a directory of `count` receivers, as the reader of the platform's list creates it."""
    receivers = ReceiverDirectory()
    receivers.apply_listing([receiver_from_platform(shapes.receiver(number)) for number in range(count)], "reader")
    return receivers


def receivers_update(receivers: ReceiverDirectory) -> bytes:
    """Return the encoded relay update with all receivers."""
    update = {"type": "relay.news", "receivers": receivers.to_records(), "receivers_version": receivers.version}
    return encode({"v": 1, "r": 1, "m": update})


def apply_receivers_update(frame: bytes) -> ReceiverDirectory:
    """Apply an encoded update as a sender does; return the resulting directory."""
    update = Decoder().feed(frame)[0]["m"]
    counter, reader = update["receivers_version"]
    receivers = ReceiverDirectory()
    receivers.apply_update(
        DirectoryVersion(counter, reader), [receiver_from_record(record) for record in update["receivers"]]
    )
    receivers.by_service()
    return receivers


def receiver_bytes(_: Effort) -> Series:
    """Measure the bytes of an update with all receivers."""
    points = sample(RECEIVERS, ONCE, lambda count: float(len(receivers_update(directory(count)))))
    return Series(
        "receiver-bytes",
        "bytes of the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        "bytes of a message",
        "B",
        points,
    )


def receiver_send(effort: Effort) -> Series:
    """Measure the processor time to encode an update with all receivers, as for each child in the relay tree."""

    def prepare(count: int) -> Callable[[], object]:
        return partial(receivers_update, directory(count))

    return message_series(
        "receiver-send",
        "make the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        RECEIVERS,
        effort,
        prepare,
    )


def receiver_apply(effort: Effort) -> Series:
    """Measure a sender's processor time to apply an update with all receivers."""

    def prepare(count: int) -> Callable[[], object]:
        return partial(apply_receivers_update, receivers_update(directory(count)))

    return message_series(
        "receiver-take",
        "take up the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        RECEIVERS,
        effort,
        prepare,
    )


def list_read(effort: Effort) -> Series:
    """Measure the processor time to parse the platform's list and merge it without changes."""

    def prepare(count: int) -> Callable[[], object]:
        body = json.dumps({"instances": [shapes.receiver(number) for number in range(count)]}).encode()
        receivers = directory(count)

        def read() -> None:
            receivers.apply_listing(
                [receiver_from_platform(instance) for instance in json.loads(body)["instances"]], "reader"
            )

        return read

    return processor_series(
        "list-read",
        "parse and merge the platform's list, unchanged (without its HTTP)",
        RECEIVERS_MODULE,
        "receivers",
        "processor time a reading",
        RECEIVERS,
        effort,
        prepare,
    )


def resident_with_receivers(count: int) -> float:
    """Return the resident bytes of a process with all receivers; to be run in a separate process."""
    receivers = apply_receivers_update(receivers_update(directory(count)))
    return float(resident_bytes()) if receivers.receivers else 0.0


def receiver_memory(effort: Effort) -> Series:
    """Measure the memory of a process with all receivers, by their number."""
    return memory_series(
        "receiver-memory",
        "memory of a process with all receivers, before and after the wire",
        RECEIVERS_MODULE,
        "receivers",
        RECEIVERS,
        effort,
        resident_with_receivers,
    )

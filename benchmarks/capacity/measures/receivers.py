"""The list of receivers: bytes on the wire, processor time to send, take up and read, memory."""

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


def directory(entries: int) -> ReceiverDirectory:
    """A directory of so many receivers, as the reader of the platform's list makes it."""
    receivers = ReceiverDirectory()
    receivers.apply_listing([receiver_from_platform(shapes.receiver(number)) for number in range(entries)], "reader")
    return receivers


def receivers_update(receivers: ReceiverDirectory) -> bytes:
    """The frame by which a relay sends the receivers to a sender."""
    update = {"type": "relay.news", "receivers": receivers.to_records(), "receivers_version": receivers.version}
    return encode({"v": 1, "r": 1, "m": update})


def apply_receivers_update(frame: bytes) -> ReceiverDirectory:
    """Apply that frame as a sender does."""
    update = Decoder().feed(frame)[0]["m"]
    counter, reader = update["receivers_version"]
    receivers = ReceiverDirectory()
    receivers.apply_update(
        DirectoryVersion(counter, reader), [receiver_from_record(record) for record in update["receivers"]]
    )
    receivers.by_service()
    return receivers


def receiver_bytes(_: Effort) -> Series:
    """Bytes of the frame with all receivers."""
    points = sample(RECEIVERS, ONCE, lambda entries: float(len(receivers_update(directory(entries)))))
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
    """Processor time to make the message with all receivers, once for each child in the relay tree."""

    def prepare(entries: int) -> Callable[[], object]:
        return partial(receivers_update, directory(entries))

    return message_series(
        "receiver-send",
        "make the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        RECEIVERS,
        effort,
        prepare,
    )


def receiver_take(effort: Effort) -> Series:
    """Processor time of a sender to apply an update with all receivers."""

    def prepare(entries: int) -> Callable[[], object]:
        return partial(apply_receivers_update, receivers_update(directory(entries)))

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
    """Processor time of a reader to parse the platform's list and merge it, when nothing has changed."""

    def prepare(entries: int) -> Callable[[], object]:
        body = json.dumps({"instances": [shapes.receiver(number) for number in range(entries)]}).encode()
        receivers = directory(entries)

        def read() -> None:
            receivers.apply_listing([receiver_from_platform(one) for one in json.loads(body)["instances"]], "reader")

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


def resident_with_receivers(entries: int) -> float:
    """Resident bytes of a process with all receivers; run in a process of its own."""
    receivers = apply_receivers_update(receivers_update(directory(entries)))
    return float(resident_bytes()) if receivers.receivers else 0.0


def receiver_memory(effort: Effort) -> Series:
    """Memory of the receivers, by their number."""
    return memory_series(
        "receiver-memory",
        "memory of a process with all receivers, before and after the wire",
        RECEIVERS_MODULE,
        "receivers",
        RECEIVERS,
        effort,
        resident_with_receivers,
    )

"""The list of receivers: bytes on the wire, processor time to send, take up and read, memory."""

from __future__ import annotations

import json

from benchmarks.capacity import shapes
from benchmarks.capacity.series import ONCE, Effort, Series, memory_series, message_series, sample
from benchmarks.capacity.timing import processor_us_per_call, resident_bytes
from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.receivers import DirectoryVersion, ReceiverDirectory, receiver_from_platform, receiver_from_record

RECEIVERS_MODULE = "dewpin/cluster/receivers.py"
RECEIVERS = (30, 100, 300, 800)


def directory(entries: int) -> ReceiverDirectory:
    """A directory of so many receivers, as a reader of the platform's list makes it."""
    held = ReceiverDirectory()
    held.apply_listing([receiver_from_platform(shapes.receiver(number)) for number in range(entries)], "reader")
    return held


def receivers_news(held: ReceiverDirectory) -> bytes:
    """The frame by which a relay tells a sender the receivers."""
    news = {"type": "relay.news", "receivers": held.to_records(), "receivers_version": held.version}
    return encode({"v": 1, "r": 1, "m": news})


def take_receivers(frame: bytes) -> ReceiverDirectory:
    """What a sender does with that frame."""
    news = Decoder().feed(frame)[0]["m"]
    counter, reader = news["receivers_version"]
    held = ReceiverDirectory()
    held.apply_update(DirectoryVersion(counter, reader), [receiver_from_record(record) for record in news["receivers"]])
    held.by_service()
    return held


def receiver_bytes(_: Effort) -> Series:
    """Bytes of the frame with all receivers."""
    points = sample(RECEIVERS, ONCE, lambda entries: float(len(receivers_news(directory(entries)))))
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

    def at(entries: int) -> float:
        held = directory(entries)
        return processor_us_per_call(lambda: receivers_news(held), effort.seconds)

    return message_series(
        "receiver-send",
        "make the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        RECEIVERS,
        effort,
        at,
    )


def receiver_take(effort: Effort) -> Series:
    """Processor time of a sender to take all receivers up."""

    def at(entries: int) -> float:
        frame = receivers_news(directory(entries))
        return processor_us_per_call(lambda: take_receivers(frame), effort.seconds)

    return message_series(
        "receiver-take",
        "take up the message with all receivers",
        RECEIVERS_MODULE,
        "receivers",
        RECEIVERS,
        effort,
        at,
    )


def list_read(effort: Effort) -> Series:
    """Processor time of a reader to parse the platform's list and merge it, when nothing has changed."""

    def at(entries: int) -> float:
        body = json.dumps({"instances": [shapes.receiver(number) for number in range(entries)]}).encode()
        held = directory(entries)

        def read() -> None:
            held.apply_listing([receiver_from_platform(one) for one in json.loads(body)["instances"]], "reader")

        return processor_us_per_call(read, effort.seconds)

    return Series(
        "list-read",
        "parse and merge the platform's list, unchanged (without its HTTP)",
        RECEIVERS_MODULE,
        "receivers",
        "processor time a reading",
        "µs",
        sample(RECEIVERS, effort, at),
    )


def resident_with_receivers(entries: int) -> float:
    """Resident bytes of a process that holds the receivers; run in a process of its own."""
    held = take_receivers(receivers_news(directory(entries)))
    return float(resident_bytes()) if held.receivers else 0.0


def receiver_memory(effort: Effort) -> Series:
    """Memory of the receivers held."""
    return memory_series(
        "receiver-memory",
        "memory of a process with all receivers, before and after the wire",
        RECEIVERS_MODULE,
        "receivers",
        RECEIVERS,
        effort,
        resident_with_receivers,
    )

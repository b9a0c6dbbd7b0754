"""The steps that wrote the fixtures of the sender's stored data and that have to write the same bytes again.

A step is the name of a method of `stored_data.Journal`, `CachedList` or `HandOverLog`, followed by its arguments.
"""

import shutil
import struct
from pathlib import Path
from zlib import crc32

from golden.sender_api import stored_data

AGENT, OTHER_AGENT = "10.1.2.3:8080", "10.9.9.9:8080"
DISK_BYTES = 3_000_000


def message(ident, **values):
    return {
        "id": ident,
        "queue_class": "notice",
        "tenant": "acme",
        "ordering_key": "",
        "destination": "7",
        "idempotency_key": "",
        "body": "x",
        "received_ms": 1764690000000.25,
        "expires_ms": 1764690016000.5,
    } | values


ALL_BYTES = "".join(map(chr, range(256)))
EVERY_STATE = [
    ("accept", message("not-sent")),
    ("accept", message("all-fields", ordering_key="k/\xe9\x00", idempotency_key="tag-1", body=ALL_BYTES * 3)),
    ("accept", message("attempt-in-flight", queue_class="charge", destination="12")),
    ("attempt", "attempt-in-flight", "r1", 1764690001000.5),
    ("accept", message("proved-not-executed")),
    ("attempt", "proved-not-executed", "r1", 1764690001001.0),
    ("attempt_ended", "proved-not-executed", False),
    ("accept", message("may-have-executed", queue_class="status", tenant="", body="")),
    ("attempt", "may-have-executed", "r2", 1764690001002.0),
    ("attempt_ended", "may-have-executed", True),
    ("accept", message("second-attempt-in-flight")),
    ("attempt", "second-attempt-in-flight", "r2", 1764690001003.0),
    ("attempt_ended", "second-attempt-in-flight", True),
    ("attempt", "second-attempt-in-flight", "r3\xff", 1764690002003.0),
    ("accept", message("third-attempt-not-executed")),
    ("attempt", "third-attempt-not-executed", "r2", 1764690001004.0),
    ("attempt_ended", "third-attempt-not-executed", False),
    ("attempt", "third-attempt-not-executed", "r1", 1764690002004.0),
    ("attempt_ended", "third-attempt-not-executed", True),
    ("attempt", "third-attempt-not-executed", "r2", 1764690003004.0),
    ("attempt_ended", "third-attempt-not-executed", False),
    ("detach", "r9"),
    ("detach", "r8"),
    ("accept", message("given-up-retryable", ordering_key="k")),
    ("give_up", "given-up-retryable", True, 1250.125),
    ("accept", message("given-up-failed", queue_class="charge")),
    ("attempt", "given-up-failed", "r1", 1764690001005.0),
    ("attempt_ended", "given-up-failed", True),
    ("give_up", "given-up-failed", False, 0.0),
    ("accept", message("delivered")),
    ("attempt", "delivered", "r1", 1764690001006.0),
    ("finish", "delivered"),
    ("accept", message("notice-answered")),
    ("give_up", "notice-answered", True, 0.0),
    ("finish", "notice-answered"),
    ("mark_consumed", 4711),
    ("attach", "r9"),
    ("detach", "r7"),
    ("detach", "r7"),
    ("accept", message("the-last"), True),
    ("attempt", "the-last", "r1", 1764690004000.0),
]
AFTER_COMPACTION = [
    ("compact",),
    ("accept", message("after-compaction")),
    ("attempt", "not-sent", "r4", 1764690005000.0),
    ("finish", "third-attempt-not-executed"),
    ("attach", "r8"),
]
# the file grows until it is compacted automatically
MANY = [
    step
    for number in range(60)
    for step in (
        ("accept", message(f"m{number}", body="b" * 9000)),
        ("attempt", f"m{number}", f"r{number % 3}", 1764690000000.0 + number),
        *([("finish", f"m{number}")] if number % 10 else []),
    )
]
# the capacity is exhausted; only messages that were accepted before are still recorded
SMALL_DISK_BYTES = 16_000
TOO_MANY = [
    *[("accept", message(f"t{number}", body="b" * 1000)) for number in range(8)],
    *[("detach", f"r{number}") for number in range(5)],
    ("finish", "t1"),
    ("accept", message("again")),
    ("accept", message("owed"), True),
]


def execute(target, steps):
    """Execute the steps; return their results except None."""
    return [result for name, *arguments in steps if (result := getattr(target, name)(*arguments)) is not None]


def write_journal(folder, *scenes, disk_bytes=DISK_BYTES):
    journal = stored_data.Journal(folder, disk_bytes)
    results = [result for steps in scenes for result in execute(journal, steps)]
    contents = journal.contents()
    journal.close()
    return results, contents


def sizes_on_the_way(folder, steps):
    """Return [size in bytes, checksum] of the journal's file after each step."""
    journal, states = stored_data.Journal(folder, DISK_BYTES), []
    for step in steps:
        execute(journal, [step])
        content = (Path(folder) / "journal").read_bytes()
        states.append([len(content), crc32(content)])
    journal.close()
    return states


def opened(folder, assume_executed=False):
    """Return the contents of a folder's journal at a start."""
    journal = stored_data.Journal(folder, DISK_BYTES)
    if assume_executed:
        journal.assume_attempts_executed()
    contents = journal.contents()
    journal.close()
    return contents


def raw_record(content):
    """Return a record with this content, which need not be valid, after a valid header."""
    return struct.pack("<II", len(content), crc32(content)) + content


def copy_fixtures(files, source, target):
    """Copy fixtures to a folder; `files` maps the names in a sender's folder to those of the fixtures."""
    target.mkdir(parents=True, exist_ok=True)
    for name, stored in files.items():
        shutil.copyfile(source / stored, target / name)
    return target


# -- the cached list ----------------------------------------------------------------------------------------------


def receiver(ident, state="active", **values):
    return {
        "id": ident,
        "destination": 7,
        "state": state,
        "address": ["127.0.0.1", 9001],
        "zone": "north",
        "kind": "major",
        "weight": 1.5,
    } | values


CACHED_LIST = [
    ("learn", [receiver("early")], False, 3, 1764690000000.4),  # an update without a complete list: not stored
    (
        "learn",
        [
            receiver("r1"),
            receiver("r2", zone=None, kind=None, weight=0.0, address=["::1", 0]),
            receiver("r3", "draining"),
            receiver("r4\xe9", destination=12),
        ],
        True,
        40,
        1764690000001.6,
    ),
    ("learn", [receiver("r1", "draining"), receiver("r5")], False, 41, 1764690000002.0),
    ("learn", [receiver("r3", "removed")], False, 42, 1764690000003.0),
    ("learn", [], False, 43, 1764690000004.0),
]
REWRITTEN_LIST = CACHED_LIST + [
    (
        "learn",
        [receiver(f"s{number}", "removed" if number % 2 else "active")],
        False,
        44 + number,
        1764690001000.0 + number,
    )
    for number in range(60)
]
MANY_REMOVED = [
    ("learn", [receiver(f"s{number}", "removed") for number in range(300)] + [receiver("r1")], True, 5, 1764690000000.0)
]


def write_list(folder, steps, agent=AGENT):
    cached = stored_data.CachedList(folder, agent, DISK_BYTES)
    execute(cached, steps)
    return cached.contents()


# -- the hand-over log --------------------------------------------------------------------------------------------

LOAD = {"left": 0.5, "limit": 3.0}
IN_FLIGHT = list(stored_data.OUTCOMES)
BEFORE_HAND_OVER = [
    step for ident in IN_FLIGHT for step in (("accept", message(ident)), ("attempt", ident, "r1", 1764690001000.0))
] + [("mark_consumed", 0)]
HAND_OVER = [
    ("accept", message("accepted-meanwhile", ordering_key="k", idempotency_key="t", body=ALL_BYTES)),
    *(
        (
            "attempt_ended",
            ident,
            ident,
            1500.5 * (ident == "rejected"),
            12.25 + number,
            LOAD,
            number == 7,
        )
        for number, ident in enumerate(IN_FLIGHT)
        if ident != "cancelled"
    ),
    ("attempt_ended", "cancelled", "cancelled", 0.0, 0.0, {}, True),
    ("detach", "r1"),
    ("attach", "r1"),
    ("count_descriptors", 17),
]


def write_hand_over_log(folder):
    """Write `journal` and `tail` as the process that hands the folder over leaves them."""
    journal = stored_data.Journal(folder, DISK_BYTES)
    execute(journal, BEFORE_HAND_OVER)
    log = stored_data.HandOverLog(folder, journal)
    results = execute(log, HAND_OVER)
    log.close()
    journal.close()
    return results

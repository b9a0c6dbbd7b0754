"""The simulator protocol: examples from its specification, byte for byte, and invalid input."""

import io
import json
import struct
import subprocess
import sys

import pytest

from dewpin.simulator import events, wire
from dewpin.simulator.adapter import Adapter
from driver import settings

QUERY = bytes.fromhex("1e0300c4913a5da92b070000000000640ad2557c3bf0910000000000006e4000000000000028400000644201")


def encode_batch(number, now, *records):
    body = b"".join(records)
    return struct.pack("<IIId", number, 12 + len(body), len(records), now) + body


def provision(sender, sender_settings, seed=5):
    text = json.dumps(sender_settings).encode()
    return struct.pack("<BHQI", 10, sender, seed, len(text)) + text


def play(adapter, *batches):
    stream = io.BytesIO(b"".join(batches))
    return [adapter.process_batch(batch) for batch in iter(lambda: wire.read_batch(stream), None)]


CENSUS = bytes.fromhex("6e0000000001000000010000803f000000000000000000000000074a12033900")
TARGETS = bytes.fromhex("140300290000000200000000")


def test_empty_batch_gets_an_empty_reply():
    encoded_batch = bytes.fromhex("010000000c0000000000000000000000206ec040")
    assert play(Adapter(), encoded_batch) == [bytes.fromhex("0100000000000000")]


def test_examples_of_the_specification_are_encoded_and_decoded_exactly():
    decoded_batch = wire.read_batch(io.BytesIO(encode_batch(12, 8412.25, QUERY, bytes.fromhex("4603004d000000"))))
    query, wakeup = decoded_batch.events
    assert type(query) is events.Query and type(wakeup) is events.Wakeup
    assert query == (3, 0x72BA95D3A91C4, 0, 0, 0x91F03B7C55D20A64, 240.0, 12.0, 57.0, 1)
    assert wakeup == (3, 0x4D)
    assert (decoded_batch.number, decoded_batch.now) == (12, 8412.25)
    assert (
        wire.encode_attempt(3, 0x72BA95D3A91C4, 0x03124A07, 80.0).hex()
        == "0a0300c4913a5da92b0700074a12030000000000005440"
    )
    assert wire.encode_defer(3, 8912.25, 0x4D)[:3].hex() == "320300"


def test_message_is_sent_and_finished_by_its_outcome():
    adapter = Adapter()
    reply = play(adapter, encode_batch(1, 0.0, provision(3, settings()), CENSUS, TARGETS, QUERY))[0]
    assert reply[8] == 10 and reply[8 + 11 : 8 + 15].hex() == "074a1203"
    returned = bytes.fromhex("320300c4913a5da92b070000074a12030a000000000000803240010000000000")
    adapter.senders[3].dispatcher.sender.full_table_kinds.add(0)  # as if a receiver of its kind had a full table
    reply = play(adapter, encode_batch(2, 20.0, returned))[0]
    assert reply[8:15].hex() == "460300074a1203"
    assert not adapter.senders[3].messages


@pytest.mark.parametrize(
    "marks, bits, age", [(True, 1, 0.0), (True, 3, 15760.0), (True, 17, 15760.0), (False, 1, 15760.0)]
)
def test_resubmission_is_recognized_by_flag_or_if_flags_are_unused_by_remaining_time(marks, bits, age):
    adapter, sender_settings = Adapter(), settings() | {"Callers": {"MarksRetry": marks}}
    play(adapter, encode_batch(1, 20000.0, provision(3, sender_settings), CENSUS, TARGETS, QUERY[:-1] + bytes([bits])))
    assert [20000.0 - message.arrived_at for message in adapter.senders[3].messages.values()] == [age]


def test_restart_within_a_batch_clears_state_and_ignores_late_events():
    adapter = Adapter()
    play(adapter, encode_batch(1, 0.0, provision(3, settings()), CENSUS, TARGETS, QUERY))
    late_outcome = bytes.fromhex("320300c4913a5da92b070000074a120328000000000000803240000000000000")
    play(adapter, encode_batch(2, 5.0, bytes.fromhex("640300"), provision(3, settings()), TARGETS, late_outcome))
    assert adapter.senders[3].dispatcher.pending_messages == 0


@pytest.mark.parametrize("key", ["Services", "Rules", "Allowed", "FamilyInfo"])
def test_missing_settings_are_named_in_the_die_action(key):
    incomplete_settings = {name: value for name, value in settings().items() if name != key}
    reply = play(Adapter(), encode_batch(1, 0.0, provision(3, incomplete_settings)))[0]
    assert reply[8] == 100 and key.encode() in reply
    incomplete_settings = settings()
    del incomplete_settings["Rules"]["OverloadFor"]
    assert b"OverloadFor" in play(Adapter(), encode_batch(1, 0.0, provision(3, incomplete_settings)))[0]


@pytest.mark.parametrize(
    "input_bytes, message",
    [
        (encode_batch(4, 0.0, b"\xee"), "record 0: expected a known record code, got 238"),
        (encode_batch(4, 0.0, QUERY[:20]), "record 0: expected a complete query"),
        (encode_batch(4, 0.0, QUERY), "expected a running sender for query, got 3"),
        (encode_batch(4, 0.0)[:15], "batch header"),
    ],
)
def test_invalid_input_ends_the_program_with_one_line(input_bytes, message):
    done = subprocess.run(
        [sys.executable, "-m", "dewpin.simulator"], input=input_bytes, capture_output=True, timeout=30
    )
    lines = done.stderr.decode().splitlines()
    assert done.returncode and not done.stdout and len(lines) == 1 and message in lines[0]

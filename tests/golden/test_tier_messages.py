"""Messages between the tier's processes, byte for byte as recorded on c8a68c2 (tier/messages.json)."""

import json
from pathlib import Path

import pytest
from golden.tier_api import encodings, message_cases

GOLDEN = json.loads((Path(__file__).parent / "tier" / "messages.json").read_text())
FRAMES = {name: text.encode("latin-1") for name, text in GOLDEN["frames"].items()}
CASES = {case.name: case for case in message_cases.all_cases()}
EARLIER_FORMS = message_cases.earlier_forms()


def test_recorded_messages_and_cases_match():
    assert list(CASES) == list(FRAMES)


@pytest.mark.parametrize("name", FRAMES)
def test_message_encodes_to_recorded_bytes(name):
    assert message_cases.encode_frame(CASES[name]) == FRAMES[name]


@pytest.mark.parametrize("name", FRAMES)
def test_recorded_bytes_decode_to_the_same_object(name):
    case = CASES[name]
    number, message = message_cases.decode_frame(FRAMES[name], case.is_answer)
    assert number == 7
    assert case.decode(message) == case.value


@pytest.mark.parametrize("name", EARLIER_FORMS)
def test_message_without_later_fields_decodes_to_their_defaults(name):
    message, value, decode = EARLIER_FORMS[name]
    assert decode(message) == value


def test_compressed_connection_sends_recorded_bytes():
    frames = ("lease.renew/full", "relay.news/full", "lease.renew/full")
    assert encodings.compress([FRAMES[name] for name in frames]) == GOLDEN["compressed"].encode("latin-1")


def test_recorded_compressed_bytes_are_decoded():
    recorded = GOLDEN["compressed"].encode("latin-1")
    assert encodings.decompress(recorded) == GOLDEN["decompressed"].encode("latin-1")


def test_digests_of_bodies_are_as_recorded():
    assert encodings.digests() == GOLDEN["digests"]


def test_error_kinds_have_recorded_names_and_responses():
    assert encodings.error_table() == GOLDEN["error_table"]


def test_calls_that_cannot_be_served_get_recorded_error_replies():
    assert encodings.rpc_answers() == GOLDEN["rpc_answers"]


@pytest.mark.parametrize("name", GOLDEN["platform"])
def test_platform_entry_gives_recorded_record(name):
    case = GOLDEN["platform"][name]
    assert list(encodings.platform_entry(case["entry"]).items()) == list(case["record"].items())

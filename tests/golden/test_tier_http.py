"""HTTP messages of the tier, byte for byte as recorded on c8a68c2 (tier/http.json), with varying parts replaced."""

import json
from pathlib import Path

import pytest
from golden import tier_http
from golden.tier_api import encodings, http_servers, lease_release

GOLDEN = json.loads((Path(__file__).parent / "tier" / "http.json").read_text())


def test_operator_calls_get_recorded_responses():
    assert tier_http.operator_transcript() == GOLDEN["operator"]


def test_readiness_requests_get_recorded_responses():
    assert tier_http.readiness_transcript() == GOLDEN["readiness"]


def test_platform_list_is_requested_and_parsed_as_recorded():
    assert tier_http.platform_transcript() == GOLDEN["platform"]


def test_every_recorded_client_case_is_run():
    assert tier_http.client_cases() == list(GOLDEN["clients"])


@pytest.mark.parametrize("name", GOLDEN["clients"])
def test_client_and_receiver_get_recorded_bytes(name):
    assert tier_http.client_transcript(name) == GOLDEN["clients"][name]


def test_error_responses_of_sender_have_recorded_bytes():
    assert http_servers.own_answers() == GOLDEN["own_answers"]


def test_chunk_to_client_has_recorded_bytes():
    assert http_servers.rendered_chunk(b"part of a body \xff").decode("latin-1") == GOLDEN["chunk"]


def test_stopping_sender_sends_recorded_releases():
    assert lease_release.releases_of_stopping_sender() == GOLDEN["releases"]


def test_release_of_lease_gets_recorded_reply():
    assert lease_release.released_answer() == GOLDEN["released"]


def test_keys_are_placed_as_recorded():
    assert encodings.placements() == GOLDEN["placements"]

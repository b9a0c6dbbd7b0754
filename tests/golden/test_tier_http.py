"""What the tier says by HTTP, byte for byte as on c8a68c2 (tier/http.json); what varies from run to run is replaced."""

import json
from pathlib import Path

import pytest
from golden import tier_api, tier_http

GOLDEN = json.loads((Path(__file__).parent / "tier" / "http.json").read_text())


def test_operators_calls_get_recorded_answers():
    assert tier_http.operator_transcript() == GOLDEN["operator"]


def test_platforms_question_for_readiness_gets_recorded_answers():
    assert tier_http.readiness_transcript() == GOLDEN["readiness"]


def test_platforms_list_is_asked_for_and_read_as_recorded():
    assert tier_http.platform_transcript() == GOLDEN["platform"]


def test_every_recorded_client_case_is_played():
    assert tier_http.client_cases() == list(GOLDEN["clients"])


@pytest.mark.parametrize("name", GOLDEN["clients"])
def test_client_and_receiver_get_recorded_bytes(name):
    assert tier_http.client_transcript(name) == GOLDEN["clients"][name]


def test_senders_own_answers_have_recorded_bytes():
    assert tier_api.own_answers() == GOLDEN["own_answers"]


def test_chunk_to_client_has_recorded_bytes():
    assert tier_api.rendered_chunk(b"part of a body \xff").decode("latin-1") == GOLDEN["chunk"]


def test_stopping_sender_sends_recorded_releases():
    assert tier_api.releases_of_stopping_sender() == GOLDEN["releases"]


def test_lease_that_is_given_up_gets_recorded_answer():
    assert tier_api.released_answer() == GOLDEN["released"]


def test_keys_are_placed_as_recorded():
    assert tier_api.placements() == GOLDEN["placements"]

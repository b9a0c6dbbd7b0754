"""Recorded exchanges with a sender over real sockets: the same bytes give the same responses and results."""

import json

import pytest
from golden.sender import wire_scenes
from golden.sender_api import paths

RECORDED = json.loads((paths.FOLDER / "wires.json").read_text())


@pytest.mark.parametrize("name", RECORDED)
def test_exchange_matches_recording(name):
    assert wire_scenes.play(name, RECORDED[name]) == RECORDED[name]


def test_every_scene_is_recorded():
    assert set(RECORDED) == set(wire_scenes.SCENES)

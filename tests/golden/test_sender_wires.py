"""Recorded exchanges on the sender's wires, over real sockets: the same bytes give the same bytes and facts."""

import json

import pytest
from golden import sender_api
from golden.sender import wire_scenes

RECORDED = json.loads((sender_api.FOLDER / "wires.json").read_text())


@pytest.mark.parametrize("name", RECORDED)
def test_recorded_exchange_goes_the_same(name):
    assert wire_scenes.play(name, RECORDED[name]) == RECORDED[name]


def test_each_scene_is_recorded():
    assert set(RECORDED) == set(wire_scenes.SCENES)

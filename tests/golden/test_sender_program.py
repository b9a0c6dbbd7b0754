"""The whole program, as an operator starts it, says what it said: to clients, the agent, operators, in its status."""

import json

from golden import sender_api
from golden.sender import program_scene


def test_recorded_run_goes_the_same(tmp_path):
    recorded = json.loads((sender_api.FOLDER / "program.json").read_text())
    found = program_scene.play(tmp_path)
    for name, facts in recorded.items():
        assert found[name] == facts, name
    assert set(found) == set(recorded)

"""The complete program, started as by an operator, sends what was recorded to clients, the agent and operators."""

import json

from golden.sender import program_scene
from golden.sender_api import paths


def test_program_output_is_as_recorded(tmp_path):
    recorded = json.loads((paths.FOLDER / "program.json").read_text())
    found = program_scene.play(tmp_path)
    for name, expected in recorded.items():
        assert found[name] == expected, name
    assert set(found) == set(recorded)

"""Scenarios of the load test: an invalid value is reported with its key."""

import pytest

from dewpin.cli.main import main


@pytest.mark.parametrize(
    "text, expected",
    [
        ("[load]\nrate = 0", "load.rate"),
        ("[[faults]]\nat = 1\nwhat = 'rain'", "what"),
        ("[[faults]]\nat = 1\nwhat = 'cut'\nzone = 'x'", "faults[0].zone"),
        ("[", "invalid TOML"),
        ("[load.classes]\nodd = 1", "load.classes"),
        ("[[faults]]\nat = 99\nwhat = 'join'", "after the end"),
    ],
)
def test_invalid_scenario_is_reported_with_its_key(tmp_path, capsys, text, expected):
    file = tmp_path / "s.toml"
    file.write_text(text)
    assert main(["lab", "fleet", str(file)]) == 2 and expected in capsys.readouterr().err

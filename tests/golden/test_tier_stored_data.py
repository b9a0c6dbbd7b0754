"""The control server's database as written by c8a68c2 (tier/keeper-*.sqlite3), read and written by this version."""

import json
import shutil
from pathlib import Path

import pytest
from golden.tier_api import control_machine, stored_data

FOLDER = Path(__file__).parent / "tier"
GOLDEN = json.loads((FOLDER / "database.json").read_text())


def as_json(value):
    """Return a value after a round trip through JSON."""
    return json.loads(json.dumps(value))


@pytest.fixture
def copy_database(tmp_path):
    """A function that returns a data folder with a copy of a recorded database."""

    def copy(scene):
        shutil.copyfile(FOLDER / f"keeper-{scene}.sqlite3", tmp_path / control_machine.DATABASE)
        return tmp_path

    return copy


@pytest.mark.parametrize("scene", GOLDEN)
def test_recorded_database_has_recorded_schema_and_rows(copy_database, scene):
    assert as_json(stored_data.dump_database(copy_database(scene) / control_machine.DATABASE)) == GOLDEN[scene]["dump"]


@pytest.mark.parametrize("scene", GOLDEN)
def test_program_reads_recorded_contents(copy_database, scene):
    assert as_json(stored_data.read_database(copy_database(scene), scene)) == GOLDEN[scene]["read"]


@pytest.mark.parametrize("scene", GOLDEN)
def test_same_operations_write_the_same_schema_rows_and_states(tmp_path, scene):
    states = stored_data.write_database(tmp_path, scene)
    assert as_json(stored_data.dump_database(tmp_path / control_machine.DATABASE)) == GOLDEN[scene]["dump"]
    assert json.dumps(states) == json.dumps(GOLDEN[scene]["states"])

"""The control server's database as c8a68c2 wrote it (tier/keeper-*.sqlite3), read and written by the text as it is."""

import json
import shutil
from pathlib import Path

import pytest
from golden import tier_api

FOLDER = Path(__file__).parent / "tier"
GOLDEN = json.loads((FOLDER / "database.json").read_text())


def as_json(value):
    """A value as a reader of its JSON gets it."""
    return json.loads(json.dumps(value))


@pytest.fixture
def copied(tmp_path):
    """Returns a data folder with a copy of a recorded database."""

    def copy(scene):
        shutil.copyfile(FOLDER / f"keeper-{scene}.sqlite3", tmp_path / tier_api.DATABASE)
        return tmp_path

    return copy


@pytest.mark.parametrize("scene", GOLDEN)
def test_recorded_database_holds_what_was_recorded_of_it(copied, scene):
    assert as_json(tier_api.dump_database(copied(scene) / tier_api.DATABASE)) == GOLDEN[scene]["dump"]


@pytest.mark.parametrize("scene", GOLDEN)
def test_programs_readers_find_recorded_contents(copied, scene):
    assert as_json(tier_api.read_database(copied(scene), scene)) == GOLDEN[scene]["read"]


@pytest.mark.parametrize("scene", GOLDEN)
def test_same_operations_write_the_same_schema_rows_and_states(tmp_path, scene):
    states = tier_api.write_database(tmp_path, scene)
    assert as_json(tier_api.dump_database(tmp_path / tier_api.DATABASE)) == GOLDEN[scene]["dump"]
    assert json.dumps(states) == json.dumps(GOLDEN[scene]["states"])

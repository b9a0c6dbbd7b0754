"""A recorded day of one sender's processes: hand-ins, calls, outcomes, notices, files, one hand-over and one kill."""

import json
import lzma

import pytest
from golden import sender_api
from golden.sender import process_day


@pytest.fixture(scope="module")
def recorded():
    content = lzma.decompress((sender_api.FOLDER / "process-day.jsonl.xz").read_bytes())
    return [json.loads(line) for line in content.splitlines()]


@pytest.fixture(scope="module")
def handed():
    return (sender_api.FOLDER / "stored" / "handed.json").read_bytes()


def test_recorded_day_played_again_goes_the_same(recorded, handed, tmp_path):
    lines, handed_on = process_day.play_day(tmp_path)
    for number, (line, expected) in enumerate(zip(lines, recorded, strict=False)):
        assert json.loads(json.dumps(line)) == expected, f"the first line that differs is {number}"
    assert len(lines) == len(recorded)
    assert handed_on == handed


def test_stored_hand_over_is_taken_over_whole(handed, tmp_path):
    (tmp_path / "handed").write_bytes(handed)
    wires = process_day.Wires(process_day.Day(tmp_path), "next")
    process = sender_api.SenderProcess(tmp_path, process_day.settings(), 5, wires.loop, wires, wires)
    read = process.take_over()
    again = process.handed_again()
    process.close()
    assert read == json.loads(handed)
    assert again == {name: value for name, value in read.items() if name not in ("out", "descriptors")}


def test_recorded_day_holds_what_it_is_for(recorded, handed):
    outcomes = {line[4] for line in recorded if line[2] == "call ended"}
    assert outcomes == set(sender_api.OUTCOMES) - {"cancelled"}  # which only the simulator's wire has
    handed_on = json.loads(handed)
    assert handed_on["out"] and handed_on["crowded"] and handed_on["rests"]
    gates = [gate for *_, gate in handed_on["destinations"] + handed_on["receivers"] if gate]
    assert any(gate["pace"] for gate in gates)
    healths = [health for _, health, _ in handed_on["receivers"] if health]
    assert any(health["trickle"] for health in healths)
    assert {line[1] for line in recorded} >= {"first", "second", "third", "hand in", "detach", "attach", "file"}

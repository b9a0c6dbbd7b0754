"""Recorded simulation of a sender's processes: submissions, calls, outcomes, notices, files, a hand-over and a kill."""

import json
import lzma

import pytest
from golden.sender import process_day
from golden.sender_api import paths, sender_process, stored_data


@pytest.fixture(scope="module")
def recorded():
    content = lzma.decompress((paths.FOLDER / "process-day.jsonl.xz").read_bytes())
    return [json.loads(line) for line in content.splitlines()]


@pytest.fixture(scope="module")
def handed():
    return (paths.FOLDER / "stored" / "handed.json").read_bytes()


def test_simulation_matches_recording(recorded, handed, tmp_path):
    lines, handed_on = process_day.play_day(tmp_path)
    for number, (line, expected) in enumerate(zip(lines, recorded, strict=False)):
        assert json.loads(json.dumps(line)) == expected, f"the first different line is {number}"
    assert len(lines) == len(recorded)
    assert handed_on == handed


def test_recorded_hand_over_is_taken_over_completely(handed, tmp_path):
    (tmp_path / "handed").write_bytes(handed)
    network = process_day.SimulatedNetwork(process_day.Day(tmp_path), "next")
    process = sender_process.SenderProcess(tmp_path, process_day.settings(), 5, network.loop, network, network)
    read = process.take_over()
    exported = process.export_state()
    process.close()
    assert read == json.loads(handed)
    assert exported == {name: value for name, value in read.items() if name not in ("out", "descriptors")}


def test_recording_covers_outcomes_and_learned_state(recorded, handed):
    outcomes = {line[4] for line in recorded if line[2] == "call ended"}
    assert outcomes == set(stored_data.OUTCOMES) - {"cancelled"}  # occurs only on the simulator's wire
    handed_on = json.loads(handed)
    assert handed_on["out"] and handed_on["crowded"] and handed_on["rests"]
    gates = [gate for *_, gate in handed_on["destinations"] + handed_on["receivers"] if gate]
    assert any(gate["pace"] for gate in gates)
    healths = [health for _, health, _ in handed_on["receivers"] if health]
    assert any(health["trickle"] for health in healths)
    assert {line[1] for line in recorded} >= {"first", "second", "third", "hand in", "detach", "attach", "file"}

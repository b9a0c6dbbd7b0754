"""The table of score losses of simulated days, computed from journal entries."""

import json

import pytest
from click.testing import CliRunner

from benchmarks import losses


def day(name="quiet-1", **changed):
    return {
        "name": name,
        "G": 0.75,
        "score": 0.6,
        "fault": None,
        "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.15, 0.5], ["worst class", 0.15, 1.0]],
        "prices": [["machine-seconds", 5040.7, 0.03], ["cloud calls", 181.0, 0.0001], ["duties missed", 0.0, 0.0]],
        **changed,
    }


def entry(*days):
    return {"id": "0123abcd", "site": "some-site", "days": list(days)}


def test_parts_are_weighted_and_prices_count_in_full():
    found = [(loss.cause, round(loss.worth, 6)) for loss in losses.losses_of(day())]
    assert found == [("worst windows", 0.075), ("whole day", 0.07), ("machine-seconds", 0.03)]


def test_losses_and_worth_of_a_day_add_up_to_one():
    played_day = day(prices=[["machine-seconds", 1.0, 0.03], ["new connections to servers", 2.0, 0.006]])
    total_loss = sum(loss.worth for loss in losses.losses_of(played_day))
    worth = sum(weight * value for _, weight, value in played_day["parts"]) - 0.036
    assert total_loss + worth == pytest.approx(1.0)


def test_day_with_a_fault_has_no_row():
    faulty_day = day("trouble-1", parts=[["whole day", 1.0, 0.0]], G=-0.065, score=0.0, fault="too slow")
    assert [played.name for played in losses.played_days(entry(faulty_day, day()))] == ["quiet-1"]


def test_table_lists_days_of_entries_by_id(tmp_path):
    (tmp_path / "20260101T000000-0123abcd.json").write_text(json.dumps(entry(day())))
    result = CliRunner().invoke(losses.main, ["0123abcd", "--journal", str(tmp_path)])
    assert result.exit_code == 0
    assert result.output.splitlines()[2:] == [
        "| 0123abcd | some-site | quiet-1 | 0.60 | 0.750 | "
        "worst windows 0.075, whole day 0.070, machine-seconds 0.030 |"
    ]
    unknown = CliRunner().invoke(losses.main, ["ffffffff", "--journal", str(tmp_path)])
    assert unknown.exit_code == 1 and "no entry ffffffff" in unknown.output

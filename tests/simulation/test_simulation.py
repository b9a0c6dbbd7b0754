"""Runs some seeds of each scenario and checks that a seed replays exactly, each in a process with a fixed hash seed."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SCENARIOS = sorted(path.stem for path in (Path(__file__).parent / "scenarios").glob("[a-z]*.py"))
SEEDS = 8


def simulate(*arguments, hash_seed="1"):
    return subprocess.run(
        [sys.executable, "-m", "tests.simulation", *map(str, arguments)],
        cwd=ROOT,
        env=dict(os.environ, PYTHONHASHSEED=hash_seed),
        capture_output=True,
        text=True,
    )


def test_scenarios_cover_all_points():
    drawn = ["answers", "catch_up", "cut_off", "halves", "orders", "overlapping_losses", "second_loss"]
    drawn_of_two = ["halves_of_five", "second_loss_of_two"]
    directed = ["lone_writes", "long_conversations", "moved_ledgers", "races", "retired_at_once", "short_cuts"]
    machines = [
        "disks_and_power",
        "frozen_and_woken",
        "full_disks",
        "many_at_once",
        "processor_quota",
        "slow_links",
        "taken_away",
    ]
    assert sorted([*drawn, *drawn_of_two, *directed, *machines, "mixed_releases"]) == SCENARIOS


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_seeds_break_no_rule(scenario):
    done = simulate("--scenario", scenario, "--seeds", SEEDS, "--jobs", 2)
    assert done.returncode == 0, done.stdout + done.stderr
    assert f"{SEEDS} seeds, 0 failed" in done.stdout


def test_seed_replays_exactly_in_another_process():
    arguments = ("--scenario", "orders", "--first", 3, "--seeds", 2, "--jobs", 1, "--trace")
    one, other = simulate(*arguments, hash_seed="5"), simulate(*arguments, hash_seed="77")
    digests = [line for line in one.stdout.splitlines() if line.startswith("digest")]
    assert len(digests) == 2 and digests[0] != digests[1]
    assert digests == [line for line in other.stdout.splitlines() if line.startswith("digest")]


@pytest.mark.parametrize(
    "variant",
    [
        "acknowledge before the sync",
        "refuse a repeated order",
        "renew without a majority",
        "count a wiped member",
        "take what one member accepted as chosen",
        "copy nothing",
        "write a turn to one replica",
    ],
)
def test_wrong_variant_is_found(variant):
    done = subprocess.run(
        [sys.executable, "-m", "tests.simulation.wrong_variants", "--jobs", "1", "--variant", variant],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0 and "1 variants, 0 not found" in done.stdout, done.stdout + done.stderr

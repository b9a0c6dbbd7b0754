"""KNOWN-RED.txt: the listed tests run and are reported as expected failures; any other failure fails the run."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS_FOLDER = Path(__file__).parent
TEST_MODULE = """
def test_red():
    assert False

def test_green():
    pass

def test_broken():
    raise OSError
"""
ROW = "test_one.py::test_%s | a cause | 38\n"
SCRIPT_ROW = "case/%s/run.sh::RULE | sh case/%s/run.sh, no seed: what was seen | 39\n"


def run_pytest(folder, known_red, *arguments):
    (folder / "test_one.py").write_text(TEST_MODULE)
    (folder / "KNOWN-RED.txt").write_text(known_red)
    for number in (1, 2, 3, 4):
        (folder / f"case/{number}").mkdir(parents=True, exist_ok=True)
        (folder / f"case/{number}/run.sh").write_text("")
    (folder / "pyproject.toml").write_text("[tool.pytest.ini_options]\naddopts = '-q -rfExX -p no:cacheprovider'\n")
    shutil.copy(TESTS_FOLDER / "conftest.py", folder)
    completed = subprocess.run([sys.executable, "-m", "pytest", *arguments], cwd=folder, capture_output=True, text=True)
    return completed.returncode, completed.stdout + completed.stderr


def test_listed_failure_is_reported_and_does_not_fail_the_run(tmp_path):
    code, output = run_pytest(tmp_path, ROW % "red", "test_one.py::test_red", "test_one.py::test_green")
    assert code == 0 and "known red: a cause (issue 38)" in output and "1 passed, 1 xfailed" in output


def test_scripts_are_printed_and_do_not_count_as_tests(tmp_path):
    scripts = "".join(SCRIPT_ROW % (number, number) for number in (1, 2, 3, 4))
    code, output = run_pytest(tmp_path, ROW % "red" + scripts, "-k", "not broken")
    assert code == 0 and "1 passed, 1 deselected, 1 xfailed" in output
    for number in (1, 2, 3, 4):
        assert f"known red, not run: case/{number}/run.sh::RULE: sh case/{number}/run.sh" in output
    assert "what was seen (issue 39)" in output


def test_tests_of_an_uncounted_issue_do_not_count(tmp_path):
    rows = "".join(f"test_two.py::test_{name} | a cause | 88\n" for name in ("a", "b", "c", "d"))
    code, output = run_pytest(tmp_path, ROW % "red" + rows, "-k", "not broken")
    assert code == 0 and "1 passed, 1 deselected, 1 xfailed" in output


@pytest.mark.parametrize(
    "known_red, expected",
    [
        (ROW % "red" + ROW % "green", "XPASS(strict)"),  # a listed test that passes
        ("", "FAILED test_one.py::test_red"),
        (ROW % "red" + ROW % "broken", "FAILED test_one.py::test_broken"),  # fails with an error, not an assertion
        (ROW % "red" + ROW % "gone", "there is no test_one.py::test_gone"),
        (ROW % "red" * 2, "named twice"),
        ("test_one.py::test_red | a cause\n", "expected `test | cause | issue`"),
        ("test_one.py::test_red | a cause | soon\n", "expected"),
        ("\n" + ROW % "red", "KNOWN-RED.txt:1"),
        ("".join(ROW % name for name in ("red", "a", "b", "c")), "4 tests, 3 at most"),
        ("test_one.py::test_red, test_one.py::test_broken | a cause | 38\n", "expected one test"),
        (ROW % "red" + SCRIPT_ROW % (5, 5), "there is no case/5/run.sh"),
        (ROW % "red" + SCRIPT_ROW % (1, 2), "expected the command `sh case/1/run.sh`"),
        (ROW % "red" + SCRIPT_ROW % (1, 1) * 2, "named twice"),
    ],
)
def test_any_other_failure_fails_the_run(tmp_path, known_red, expected):
    code, output = run_pytest(tmp_path, known_red)
    assert code != 0 and expected in output

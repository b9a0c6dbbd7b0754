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


def run_pytest(folder, known_red, *arguments):
    (folder / "test_one.py").write_text(TEST_MODULE)
    (folder / "KNOWN-RED.txt").write_text(known_red)
    (folder / "pyproject.toml").write_text("[tool.pytest.ini_options]\naddopts = '-q -rfExX -p no:cacheprovider'\n")
    shutil.copy(TESTS_FOLDER / "conftest.py", folder)
    completed = subprocess.run([sys.executable, "-m", "pytest", *arguments], cwd=folder, capture_output=True, text=True)
    return completed.returncode, completed.stdout + completed.stderr


def test_listed_failure_is_reported_and_does_not_fail_the_run(tmp_path):
    code, output = run_pytest(tmp_path, ROW % "red", "test_one.py::test_red", "test_one.py::test_green")
    assert code == 0 and "known red: a cause (issue 38)" in output and "1 passed, 1 xfailed" in output


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
    ],
)
def test_any_other_failure_fails_the_run(tmp_path, known_red, expected):
    code, output = run_pytest(tmp_path, known_red)
    assert code != 0 and expected in output

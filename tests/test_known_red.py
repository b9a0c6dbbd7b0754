"""The list of tests that are known to fail: they are run and printed, and nothing else is let pass."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = """
def test_red():
    assert False

def test_green():
    pass

def test_broken():
    raise OSError
"""
ROW = "test_one.py::test_%s | a cause | 38\n"


def run(folder, listed, *chosen):
    (folder / "test_one.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text(listed)
    (folder / "pyproject.toml").write_text("[tool.pytest.ini_options]\naddopts = '-q -rfExX -p no:cacheprovider'\n")
    shutil.copy(HERE / "conftest.py", folder)
    done = subprocess.run([sys.executable, "-m", "pytest", *chosen], cwd=folder, capture_output=True, text=True)
    return done.returncode, done.stdout + done.stderr


def test_a_listed_test_that_fails_is_printed_and_passed_over(tmp_path):
    code, said = run(tmp_path, ROW % "red", "test_one.py::test_red", "test_one.py::test_green")
    assert code == 0 and "known red: a cause (issue 38)" in said and "1 passed, 1 xfailed" in said


@pytest.mark.parametrize(
    "listed, words",
    [
        (ROW % "red" + ROW % "green", "XPASS(strict)"),  # one that passes must leave the list
        ("", "FAILED test_one.py::test_red"),
        (ROW % "red" + ROW % "broken", "FAILED test_one.py::test_broken"),  # it fails by another fault
        (ROW % "red" + ROW % "gone", "there is no test_one.py::test_gone"),
        (ROW % "red" * 2, "named twice"),
        ("test_one.py::test_red | a cause\n", "expected `test | cause | issue`"),
        ("test_one.py::test_red | a cause | soon\n", "expected"),
        ("\n" + ROW % "red", "KNOWN-RED.txt:1"),
        ("".join(ROW % name for name in ("red", "a", "b", "c")), "4 tests, 3 at most"),
    ],
)
def test_all_else_fails_the_run(tmp_path, listed, words):
    code, said = run(tmp_path, listed)
    assert code != 0 and words in said

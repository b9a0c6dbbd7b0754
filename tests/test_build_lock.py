"""deploy/build and deploy/build-system: one build of a checkout at a time, and recovery from an interrupted build.

A fake Python logs the steps and installs nothing. An installation blocks until the test continues it; one that starts
while another is running logs `overlap` and fails.
"""

import os
import select
import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
LOCKS = {"build": "requirements.lock", "build-system": "system-requirements.lock"}
TIMEOUT_S = 60
FAKE_PYTHON = """#!/bin/sh
cd "{root}"
case "$*" in
    *"import pip"*) test -e .venv/pip && echo 3;;
    -c*) echo 3;;
    *venv*) rm -rf .venv; mkdir -p .venv/bin; cp "{python}" .venv/bin/python; touch .venv/pip; echo venv >> log;;
    *install*)
        mkdir installing || {{ echo overlap >> log; exit 1; }}
        echo started > started
        read -r _ < continue
        mkdir -p target/deps-new
        rmdir installing
        echo installed >> log;;
esac
"""


class Checkout:
    """A copy of the build scripts with the fake Python, and the builds that were started in it."""

    def __init__(self, root: Path):
        self.root = root
        (root / "deploy").mkdir()
        for name in (*LOCKS, *LOCKS.values()):
            shutil.copy(ROOT / "deploy" / name, root / "deploy" / name)
        self.python = root / "bin/python3"
        self.python.parent.mkdir()
        self.python.write_text(FAKE_PYTHON.format(root=root, python=self.python))
        self.python.chmod(0o755)
        self.pipes = {name: self.create_pipe(name) for name in ("started", "continue")}
        self.builds = []

    def create_pipe(self, name):
        os.mkfifo(self.root / name)
        return os.open(self.root / name, os.O_RDWR)  # with O_RDWR open() does not wait for the other end

    def start(self, script):
        command = ["sh", str(self.root / "deploy" / script)]
        environment = {"PATH": f"{self.python.parent}:/usr/bin:/bin"}
        self.builds.append(subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True))
        return self.builds[-1]

    def wait_for_installation(self):
        assert is_readable(self.pipes["started"]), "no installation started"
        os.read(self.pipes["started"], 100)

    def finish_installation(self):
        os.write(self.pipes["continue"], b"continue\n")

    def steps(self):
        return (self.root / "log").read_text().split()

    def close(self):
        for build in self.builds:
            build.kill()
            build.wait()
            build.stderr.close()
        os.write(self.pipes["continue"], b"continue\n" * len(self.builds))  # ends a fake Python that outlived its build
        for pipe in self.pipes.values():
            os.close(pipe)


def is_readable(stream, timeout_s=TIMEOUT_S):
    return select.select([stream], [], [], timeout_s)[0]


@pytest.fixture
def checkout(tmp_path):
    checkout_copy = Checkout(tmp_path)
    yield checkout_copy
    checkout_copy.close()


@pytest.mark.parametrize("script, steps", [("build", ["venv", "installed"]), ("build-system", ["installed"])])
def test_concurrent_build_waits_and_installs_nothing(checkout, script, steps):
    first = checkout.start(script)
    checkout.wait_for_installation()
    second = checkout.start(script)
    assert is_readable(second.stderr) and "waiting for it" in second.stderr.readline(), "the second build does not wait"
    assert not is_readable(checkout.pipes["started"], timeout_s=0.2), "the second build does not wait"
    checkout.finish_installation()
    assert [build.wait(TIMEOUT_S) for build in (first, second)] == [0, 0]
    assert checkout.steps() == steps


def test_environment_without_pip_is_created_again(checkout):
    (checkout.root / ".venv/bin").mkdir(parents=True)
    shutil.copy(checkout.python, checkout.root / ".venv/bin/python")
    build = checkout.start("build")
    checkout.wait_for_installation()
    checkout.finish_installation()
    assert build.wait(TIMEOUT_S) == 0
    assert checkout.steps() == ["venv", "installed"]


def test_check_script_installs_under_the_builds_lock():
    lines = (ROOT / "deploy/check").read_text().splitlines()
    installs = [line for line in lines if " pip " in line]
    assert installs and all(line.startswith("flock deploy ") for line in installs)

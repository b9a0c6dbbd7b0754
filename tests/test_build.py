"""deploy/build: what it installs when. A stand-in for the environment's Python writes down what it is asked."""
import shutil
import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
STAND_IN = """#!/bin/sh
case "$1" in -c) printf '%s\\n' "{version}";; *) echo "$*" >> "{log}";; esac
"""


def test_a_stale_environment_is_brought_up_to_the_lock_and_a_good_one_is_left_alone(tmp_path):
    (tmp_path / "deploy").mkdir()
    for name in ("build", "requirements.lock"):
        shutil.copy(ROOT / "deploy" / name, tmp_path / "deploy" / name)
    (tmp_path / ".venv/bin").mkdir(parents=True)
    version = subprocess.run(["python3", "-c", "import sys; print(sys.version)"], capture_output=True, text=True,
                             check=True).stdout.strip()
    inside, log = tmp_path / ".venv/bin/python", tmp_path / "log"
    inside.write_text(STAND_IN.format(version=version, log=log))
    inside.chmod(0o755)

    def asked():
        log.write_text("")
        subprocess.run(["sh", str(tmp_path / "deploy/build")], check=True, timeout=60)
        return ["install" in line for line in log.read_text().splitlines()]
    assert asked() == [True, False]         # an old .venv without a mark: install, then compile
    assert asked() == [False]               # the same lock again: compile alone
    with open(tmp_path / "deploy/requirements.lock", "a") as lock:
        lock.write("# another dependency\n")
    assert asked() == [True, False]


def test_the_locks_name_every_dependency_with_its_hash():
    import tomllib
    held = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    runtime, dev = ((ROOT / name).read_text() for name in ("deploy/requirements.lock", "requirements-dev.lock"))
    for wanted in held["dependencies"]:
        name = wanted.partition(">")[0]
        line = next(one for one in runtime.splitlines() if one.startswith(name + "=="))
        assert line in dev                  # the checks run what the sender runs
    for wanted in held["optional-dependencies"]["dev"]:
        name = wanted.partition(">")[0].partition("[")[0]
        assert name == "dewpin" or f"\n{name}==" in "\n" + dev
    for lock in (runtime, dev):
        assert lock.count("--hash=sha256:") >= lock.count("==") and "://" not in lock

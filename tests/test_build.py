"""When deploy/build and deploy/build-system install dependencies. A fake Python logs its command lines."""

import os
import shutil
import subprocess
from pathlib import Path

import pytest
from checkout_copy import copy_folders

ROOT = Path(__file__).resolve().parents[1]
MACHINE = os.uname().machine
FAKE_VENV_PYTHON = """#!/bin/sh
case "$1" in -c) printf '%s\\n' "{version}";; *) echo "$*" >> "{log}";; esac
"""
FAKE_SYSTEM_PYTHON = """#!/bin/sh
case "$1" in
    -c) echo 3; exit;;
esac
echo "$*" >> "{log}"
case "$*" in
    *install*) test ! -e "{failure_marker}" && mkdir -p "{target}/deps-new";;
esac
"""


def test_build_installs_when_the_lock_file_has_changed(tmp_path):
    (tmp_path / "deploy").mkdir()
    for name in ("build", "requirements.lock"):
        shutil.copy(ROOT / "deploy" / name, tmp_path / "deploy" / name)
    (tmp_path / ".venv/bin").mkdir(parents=True)
    version = subprocess.run(
        ["python3", "-c", "import sys; print(sys.version)"], capture_output=True, text=True, check=True
    ).stdout.strip()
    venv_python, log = tmp_path / ".venv/bin/python", tmp_path / "log"
    venv_python.write_text(FAKE_VENV_PYTHON.format(version=version, log=log))
    venv_python.chmod(0o755)
    (tmp_path / ".venv/machine-mark").write_text(f"{MACHINE}\n")

    def run_build():
        log.write_text("")
        subprocess.run(["sh", str(tmp_path / "deploy/build")], check=True, timeout=60)
        return ["install" in line for line in log.read_text().splitlines()]

    assert run_build() == [True, False]  # a .venv without a record of its lock file: install, then compile
    assert run_build() == [False]  # unchanged lock file: compile only
    with open(tmp_path / "deploy/requirements.lock", "a") as lock:
        lock.write("# another dependency\n")
    assert run_build() == [True, False]


def test_copied_folder_keeps_a_link_whose_target_is_missing(tmp_path):
    checkout, copy = tmp_path / "checkout", tmp_path / "copy"
    (checkout / "deploy/site").mkdir(parents=True)
    (checkout / "deploy/site/wire.json").symlink_to("../../../outside/wire.json")
    copy_folders(copy, "deploy", source=checkout)
    assert os.readlink(copy / "deploy/site/wire.json") == "../../../outside/wire.json"


@pytest.mark.parametrize("machine, is_created_again", [(MACHINE, False), ("another", True), (None, True)])
def test_environment_of_another_kind_of_machine_is_created_again(tmp_path, machine, is_created_again):
    copy_folders(tmp_path, "deploy")
    commands, log = tmp_path / "bin", tmp_path / "log"
    (tmp_path / ".venv/bin").mkdir(parents=True)
    commands.mkdir()
    fake_python = FAKE_VENV_PYTHON.format(version="3", log=log)
    for python in (commands / "python3", tmp_path / ".venv/bin/python"):
        python.write_text(fake_python)
        python.chmod(0o755)
    if machine is not None:
        (tmp_path / ".venv/machine-mark").write_text(f"{machine}\n")
    environment = {"PATH": f"{commands}:/usr/bin:/bin"}
    for created in (is_created_again, False):
        log.write_text("")
        subprocess.run(["sh", str(tmp_path / "deploy/build")], check=True, timeout=60, env=environment)
        assert ("-m venv --clear .venv" in log.read_text()) == created
        assert (tmp_path / ".venv/machine-mark").read_text() == f"{MACHINE}\n"


def test_dependencies_of_another_kind_of_machine_are_installed_again(tmp_path):
    copy_folders(tmp_path, "deploy")
    commands, log = tmp_path / "bin", tmp_path / "log"
    commands.mkdir()
    fake_python = FAKE_SYSTEM_PYTHON.format(log=log, target=tmp_path / "target", failure_marker=tmp_path / "fail")
    for machine, is_installed in (("x86_64", True), ("x86_64", False), ("aarch64", True), ("aarch64", False)):
        (commands / "python3").write_text(fake_python.replace("-c) echo 3;", f"-c) echo '{machine}' | grep . ;"))
        (commands / "python3").chmod(0o755)
        log.write_text("")
        environment = {"PATH": f"{commands}:/usr/bin:/bin"}
        subprocess.run(["sh", str(tmp_path / "deploy/build-system")], check=True, timeout=60, env=environment)
        assert ("install" in log.read_text()) == is_installed
    assert "os.uname().machine" in (ROOT / "deploy/build-system").read_text()


def test_build_system_installs_when_the_lock_file_has_changed_or_the_last_build_failed(tmp_path):
    (tmp_path / "deploy").mkdir()
    for name in ("build-system", "system-requirements.lock"):
        shutil.copy(ROOT / "deploy" / name, tmp_path / "deploy" / name)
    fake_python, log = tmp_path / "bin/python3", tmp_path / "log"
    fake_python.parent.mkdir()
    fake_python.write_text(
        FAKE_SYSTEM_PYTHON.format(log=log, target=tmp_path / "target", failure_marker=tmp_path / "fail")
    )
    fake_python.chmod(0o755)

    def run_build(code=0):
        log.write_text("")
        completed = subprocess.run(
            ["sh", str(tmp_path / "deploy/build-system")],
            timeout=60,
            capture_output=True,
            env={"PATH": f"{fake_python.parent}:/usr/bin:/bin"},
        )
        assert (completed.returncode == 0) == (code == 0), completed.stderr
        return ["install" in line for line in log.read_text().splitlines()]

    assert run_build() == [True, False, False]  # install, compile the dependencies, compile the sources
    assert "--require-hashes" in (ROOT / "deploy/build-system").read_text()
    (tmp_path / "target/deps/old").write_text("")
    assert run_build() == [False]  # unchanged lock file: compile the sources only
    with open(tmp_path / "deploy/system-requirements.lock", "a") as lock:
        lock.write("# another dependency\n")
    (tmp_path / "fail").write_text("")
    assert run_build(code=1) == [True]
    (tmp_path / "fail").unlink()
    assert (tmp_path / "target/deps/old").exists()
    assert run_build() == [True, False, False]
    assert not (tmp_path / "target/deps/old").exists()


def test_tier_has_its_own_build_and_roles():
    import tomllib

    metadata = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert metadata["build"] == "sh deploy/build-system"
    for role in metadata["roles"].values():
        assert role["run"].split()[:2] == ["python3", "-m"] and 0 < role["share"] <= 1
    stores = [role["on"] for role in metadata["roles"].values() if "store" in role["serves"]]
    served = {name for role in metadata["roles"].values() for name in role["serves"]}
    assert stores == ["store"] and served == {"front", "store", "control"}


def test_lock_files_pin_every_dependency_by_hash():
    import tomllib

    metadata = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    runtime, tier, dev = (
        (ROOT / name).read_text()
        for name in ("deploy/requirements.lock", "deploy/system-requirements.lock", "requirements-dev.lock")
    )
    for requirement in metadata["dependencies"]:
        name = requirement.partition(">")[0]
        line = next(row for row in runtime.splitlines() if row.startswith(name + "=="))
        assert line in dev  # the checks use the sender's dependency versions
    for requirement in metadata["optional-dependencies"]["tier"]:
        name = requirement.partition(">")[0]
        line = next(row for row in tier.splitlines() if row.startswith(name + "=="))
        assert line in dev  # the checks use the tier's dependency versions
    for requirement in metadata["optional-dependencies"]["dev"]:
        name = requirement.partition(">")[0].partition("[")[0]
        assert name == "dewpin" or f"\n{name}==" in "\n" + dev
    for lock in (runtime, tier, dev):
        assert lock.count("--hash=sha256:") >= lock.count("==") and "://" not in lock

"""The Debian packages that deploy/system.toml lists are sufficient for the build and both programs.

On every system: the build calls only commands of a table, which belong to essential or listed packages.
On Debian with the listed packages installed: the build runs in a clean copy, with an empty home directory and only
the commands of essential packages, listed packages and their dependencies; then every file that pip and both programs
load has to belong to these packages. Elsewhere these tests are skipped, which the summary of the run shows.
"""

import os
import re
import shutil
import subprocess
import tomllib
from pathlib import Path

import pytest
from checkout_copy import copy_folders

ROOT = Path(__file__).resolve().parents[1]
LISTED_PACKAGES = tomllib.loads((ROOT / "deploy/system.toml").read_text())["packages"]
PACKAGE_OF = {  # for each command that deploy/build-system calls
    **dict.fromkeys(("cat", "cksum", "dirname", "mkdir", "mv", "rm"), "coreutils"),
    "flock": "util-linux",
    "python3": "python3",
    "sh": "dash",
}
ESSENTIAL = {"coreutils", "dash", "util-linux"}  # installed on every Debian machine
DPKG_STATUS = Path("/var/lib/dpkg/status")
PYTHON = "/usr/bin/python3"
FAKE_PYTHON = """#!/bin/sh
case "$*" in *install*) mkdir -p target/deps-new;; esac
"""
LIST_LOADED_FILES = """
import importlib, pkgutil, runpy, ssl, sys
from pathlib import Path
import pip._internal.cli.main, pip._internal.commands.install
ssl.create_default_context()
for program in ("dataplane", "controlplane"):
    package = importlib.import_module("dewpin." + program)
    for module in pkgutil.iter_modules(package.__path__, package.__name__ + "."):
        importlib.import_module(module.name)
for module in list(sys.modules.values()):
    print(getattr(module, "__file__", None) or "built in")
for line in Path("/proc/self/maps").read_text().splitlines():
    print(line.split(maxsplit=5)[-1])
"""


def debian_packages():
    """Return {name or provided name: (name, whether it is essential, names of dependencies)} of installed packages."""
    row_format = "${db:Status-Abbrev}\t${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n"
    command = ["dpkg-query", "-W", "-f", row_format]
    rows = subprocess.run(command, capture_output=True, text=True, check=True).stdout.splitlines()
    packages = {}
    for row in rows:
        status, name, essential, depends, provides = row.split("\t")
        if not status.startswith("ii"):
            continue  # removed, but its configuration files remain
        entry = name, essential == "yes", re.findall(r"(?:^|[,|] *)([a-z0-9][a-z0-9+.-]+)", depends)
        packages[name] = entry
        for provided in re.findall(r"(?:^|, *)([a-z0-9][a-z0-9+.-]+)", provides):
            packages.setdefault(provided, entry)
    return packages


def required_packages(packages):
    """Return the names of the essential packages, the listed ones and all their dependencies."""
    to_visit = [*LISTED_PACKAGES, *(name for name, essential, _ in packages.values() if essential)]
    found = set()
    while to_visit:
        name, _, depends = packages.get(to_visit.pop(), (None, False, ()))
        if name and name not in found:
            found.add(name)
            to_visit.extend(depends)
    return found


def files_of(names):
    listing = subprocess.run(["dpkg-query", "-L", *names], capture_output=True, text=True, check=True).stdout
    return {line for line in listing.splitlines() if line.startswith("/")}


@pytest.fixture(scope="module")
def installed_files():
    """The files of all packages that are installed on each operator machine."""
    if not DPKG_STATUS.exists():
        pytest.skip("not run: this is not Debian, so the packages of files are unknown")
    packages = debian_packages()
    missing = [name for name in LISTED_PACKAGES if name not in packages]
    if missing:
        pytest.skip(f"not run: these listed packages are not installed here: {' '.join(missing)}")
    return files_of(required_packages(packages))


@pytest.fixture(scope="module")
def clean_build(installed_files, tmp_path_factory):
    """A clean copy, built with the commands of these packages only, and the environment for its programs."""
    folder = tmp_path_factory.mktemp("system")
    commands, checkout, home = folder / "bin", folder / "checkout", folder / "home"
    for directory_path in (commands, home):
        directory_path.mkdir()
    for file in installed_files:
        directory, name = os.path.split(file)
        if directory in ("/bin", "/usr/bin") and os.access(file, os.X_OK) and not (commands / name).exists():
            (commands / name).symlink_to(file)
    copy_folders(checkout, "deploy", "dewpin")
    environment = {"PATH": str(commands), "HOME": str(home)}
    command = [str(commands / "sh"), "deploy/build-system"]
    completed = subprocess.run(command, cwd=checkout, env=environment, capture_output=True, text=True, timeout=900)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return checkout, {**environment, "PYTHONPATH": "target/deps"}


def test_listed_names_are_valid_and_unique():
    assert LISTED_PACKAGES and len(set(LISTED_PACKAGES)) == len(LISTED_PACKAGES)
    for name in LISTED_PACKAGES:
        assert re.fullmatch(r"[a-z0-9][a-z0-9+.-]+", name), name
    interpreter_and_installer = {"python3", "python3-pip", "ca-certificates"}
    assert interpreter_and_installer <= set(LISTED_PACKAGES)


def test_build_calls_only_commands_of_listed_or_essential_packages(tmp_path):
    assert set(PACKAGE_OF.values()) <= ESSENTIAL | set(LISTED_PACKAGES)
    commands = tmp_path / "bin"
    commands.mkdir()
    for name in PACKAGE_OF:
        if name != "python3":
            (commands / name).symlink_to(shutil.which(name, path="/usr/bin:/bin"))
    (commands / "python3").write_text(FAKE_PYTHON)
    (commands / "python3").chmod(0o755)
    copy_folders(tmp_path, "deploy")
    for _ in ("first build", "repeated build"):
        completed = subprocess.run(
            [str(commands / "sh"), str(tmp_path / "deploy/build-system")],
            env={"PATH": str(commands)},
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert (completed.returncode, completed.stderr) == (0, "")


def test_commands_of_the_build_belong_to_the_named_packages(installed_files):
    packages = debian_packages()
    assert all(packages[name][1] for name in ESSENTIAL)
    for command in set(PACKAGE_OF) - {"sh"}:  # the link "sh" is created when dash is installed
        assert installed_files & {f"/bin/{command}", f"/usr/bin/{command}"}, command


def test_clean_build_succeeds_with_listed_packages(clean_build):
    checkout, environment = clean_build
    assert (checkout / "target/deps-mark").exists()
    assert {"python3", "flock"} < set(os.listdir(environment["PATH"])) and "git" not in os.listdir(environment["PATH"])


@pytest.mark.parametrize("program", ["dewpin.dataplane", "dewpin.controlplane"])
def test_programs_start_with_listed_packages(clean_build, program):
    checkout, environment = clean_build
    completed = subprocess.run(
        ["python3", "-m", program],
        cwd=checkout,
        env={**environment, "DEWPIN_BOOT": "/nowhere/settings.toml"},
        executable=PYTHON,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (completed.returncode, completed.stderr) == (
        2,
        "/nowhere/settings.toml: cannot read /nowhere/settings.toml: No such file or directory\n",
    )


def test_loaded_files_belong_to_listed_packages(clean_build, installed_files):
    checkout, environment = clean_build
    completed = subprocess.run(
        [PYTHON, "-c", LIST_LOADED_FILES], cwd=checkout, env=environment, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0, completed.stderr
    loaded = {os.path.realpath(line) for line in completed.stdout.splitlines() if line.startswith("/")}
    package_files = {os.path.realpath(file) for file in installed_files}
    assert any("libsqlite3" in file for file in loaded) and any("/pip/" in file for file in loaded)
    unexpected = {file for file in loaded - package_files if not file.startswith(str(checkout.resolve()))}
    assert not unexpected

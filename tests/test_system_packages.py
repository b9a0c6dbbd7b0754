"""The Debian packages that deploy/system.toml lists are all that the build and both programs need.

Without Debian: the build calls no command but those of a table, which belong to essential packages or to listed ones.
On Debian with the listed packages installed: the build runs in a clean copy, with an empty home and no command but
those of essential packages, the listed ones and what they depend on; then every file that pip and both programs load
is looked up in these packages. Elsewhere these tests are skipped, which the summary of the run tells.
"""

import os
import re
import shutil
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
LISTED = tomllib.loads((ROOT / "deploy/system.toml").read_text())["packages"]
PACKAGE_OF = {  # of each command that deploy/build-system calls
    **dict.fromkeys(("cat", "cksum", "dirname", "mkdir", "mv", "rm"), "coreutils"),
    "flock": "util-linux",
    "python3": "python3",
    "sh": "dash",
}
ESSENTIAL = {"coreutils", "dash", "util-linux"}  # on every Debian machine, whatever is listed
DATABASE = Path("/var/lib/dpkg/status")
PYTHON = "/usr/bin/python3"
NO_NETWORK = """#!/bin/sh
case "$*" in *install*) mkdir -p target/deps-new;; esac
"""
LOADED = """
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
    """{name or provided name: (essential, names it depends on, files)} of the packages installed here."""
    form = "${db:Status-Abbrev}\t${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n"
    asked = ["dpkg-query", "-W", "-f", form]
    rows = subprocess.run(asked, capture_output=True, text=True, check=True).stdout.splitlines()
    packages = {}
    for row in rows:
        status, name, essential, depends, provides = row.split("\t")
        if not status.startswith("ii"):
            continue  # removed, but its settings are left
        entry = name, essential == "yes", re.findall(r"(?:^|[,|] *)([a-z0-9][a-z0-9+.-]+)", depends)
        packages[name] = entry
        for provided in re.findall(r"(?:^|, *)([a-z0-9][a-z0-9+.-]+)", provides):
            packages.setdefault(provided, entry)
    return packages


def closure(packages):
    """The names of the essential packages, the listed ones and all that these depend on."""
    to_visit = [*LISTED, *(name for name, essential, _ in packages.values() if essential)]
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
    """The files of all packages that the operators' machines have for certain."""
    if not DATABASE.exists():
        pytest.skip("not run: this is not Debian, its packages cannot be looked up")
    packages = debian_packages()
    missing = [name for name in LISTED if name not in packages]
    if missing:
        pytest.skip(f"not run: these listed packages are not installed here: {' '.join(missing)}")
    return files_of(closure(packages))


@pytest.fixture(scope="module")
def built(installed_files, tmp_path_factory):
    """A clean copy that was built with the commands of these packages alone, and the environment of that build."""
    folder = tmp_path_factory.mktemp("system")
    commands, checkout, home = folder / "bin", folder / "checkout", folder / "home"
    for made in (commands, home):
        made.mkdir()
    for file in installed_files:
        directory, name = os.path.split(file)
        if directory in ("/bin", "/usr/bin") and os.access(file, os.X_OK) and not (commands / name).exists():
            (commands / name).symlink_to(file)
    for name in ("deploy", "dewpin"):
        shutil.copytree(ROOT / name, checkout / name, symlinks=True, ignore=shutil.ignore_patterns("__pycache__"))
    environment = {"PATH": str(commands), "HOME": str(home)}
    command = [str(commands / "sh"), "deploy/build-system"]
    done = subprocess.run(command, cwd=checkout, env=environment, capture_output=True, text=True, timeout=900)
    assert done.returncode == 0, done.stdout + done.stderr
    return checkout, {**environment, "PYTHONPATH": "target/deps"}


def test_the_list_holds_names_of_debian_packages_each_once():
    assert LISTED and len(set(LISTED)) == len(LISTED)
    for name in LISTED:
        assert re.fullmatch(r"[a-z0-9][a-z0-9+.-]+", name), name
    assert {"python3", "python3-pip", "ca-certificates"} <= set(LISTED)  # the interpreter, its installer, certificates


def test_the_build_calls_no_command_that_is_not_listed_or_essential(tmp_path):
    assert set(PACKAGE_OF.values()) <= ESSENTIAL | set(LISTED)
    commands = tmp_path / "bin"
    commands.mkdir()
    for name in PACKAGE_OF:
        if name != "python3":
            (commands / name).symlink_to(shutil.which(name, path="/usr/bin:/bin"))
    (commands / "python3").write_text(NO_NETWORK)
    (commands / "python3").chmod(0o755)
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy", symlinks=True)
    for _ in ("a clean checkout", "one that was built before"):
        done = subprocess.run(
            [str(commands / "sh"), str(tmp_path / "deploy/build-system")],
            env={"PATH": str(commands)},
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert (done.returncode, done.stderr) == (0, "")


def test_debian_has_the_commands_of_the_build_in_the_packages_named_here(installed_files):
    packages = debian_packages()
    assert all(packages[name][1] for name in ESSENTIAL)
    for command in set(PACKAGE_OF) - {"sh"}:  # "sh" is dash's by a link that dash's installation makes
        assert installed_files & {f"/bin/{command}", f"/usr/bin/{command}"}, command


def test_a_clean_build_needs_nothing_but_the_listed_packages(built):
    checkout, environment = built
    assert (checkout / "target/deps-mark").exists()
    assert {"python3", "flock"} < set(os.listdir(environment["PATH"])) and "git" not in os.listdir(environment["PATH"])


@pytest.mark.parametrize("program", ["dewpin.dataplane", "dewpin.controlplane"])
def test_both_programs_start_on_the_listed_packages(built, program):
    checkout, environment = built
    done = subprocess.run(
        ["python3", "-m", program],
        cwd=checkout,
        env={**environment, "DEWPIN_BOOT": "/nowhere/settings.toml"},
        executable=PYTHON,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (done.returncode, done.stderr) == (
        2,
        "/nowhere/settings.toml: cannot read /nowhere/settings.toml: No such file or directory\n",
    )


def test_pip_and_both_programs_load_no_file_of_a_package_that_is_not_listed(built, installed_files):
    checkout, environment = built
    done = subprocess.run(
        [PYTHON, "-c", LOADED], cwd=checkout, env=environment, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stderr
    loaded = {os.path.realpath(line) for line in done.stdout.splitlines() if line.startswith("/")}
    known = {os.path.realpath(file) for file in installed_files}
    assert any("libsqlite3" in file for file in loaded) and any("/pip/" in file for file in loaded)
    strange = {file for file in loaded - known if not file.startswith(str(checkout.resolve()))}
    assert not strange

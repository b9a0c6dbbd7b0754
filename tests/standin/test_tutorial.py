"""Commands in the tutorial and the README: their programs, options, files, variables and paths exist."""

import json
import re
import shlex
from pathlib import Path

import pytest

from dewpin.cluster.configuration import parse_configuration
from dewpin.standin.__main__ import build_parser, tier_options
from dewpin.standin.address_file import ADDRESS_FILE, address_variables
from dewpin.standin.demonstration import FOREVER, InjectedFault, TierOptions, run_tier
from dewpin.standin.errors import FolderNotEmptyError
from dewpin.standin.processes import ManagedProcess
from dewpin.standin.protocol import GET_PATH, INSTANCES_PATH, PUT_PATH, READY_PATH
from dewpin.standin.sample_configuration import HOST, PLAIN_PATH, STREAM_PATH, sample_configuration
from dewpin.standin.tier import LocalTier

ROOT = Path(__file__).resolve().parents[2]
TUTORIAL = (ROOT / "docs/tutorial-tier.md").read_text(encoding="utf-8")
README = (ROOT / "README.md").read_text(encoding="utf-8")
README_SECTION = README.partition("## Run the tier on one machine")[2].partition("\n## ")[0]
MOVED_PATH = "/find/"
TOOLS = {".", "curl", "echo", "kill", "python3", "rm", "sed", "sh", "sleep"}


def tutorial_commands():
    blocks = re.findall(r"^```sh\n(.*?)^```", TUTORIAL, re.DOTALL | re.MULTILINE)
    return "".join(blocks).replace("\\\n", "").splitlines()


def readme_commands():
    return [line[4:] for line in README_SECTION.splitlines() if line.startswith("    ")]


COMMANDS = tutorial_commands() + readme_commands()


def test_tutorial_and_readme_contain_commands():
    assert len(tutorial_commands()) > 15 and len(readme_commands()) > 4
    assert "docs/tutorial-tier.md" in README_SECTION


@pytest.mark.parametrize("command", COMMANDS)
def test_command_and_its_options_exist(command):
    words = shlex.split(command, comments=True)
    assert words[0] in TOOLS
    if words[0] == "sh":
        assert (ROOT / words[1]).is_file()
    if words[0] == "python3":
        assert words[1:3] == ["-m", "dewpin.standin"]
        tier_options(build_parser().parse_args(words[3:]))


def test_address_file_has_the_tutorials_variables(tmp_path, monkeypatch):
    monkeypatch.setattr(ManagedProcess, "pid", 1)
    tier = LocalTier(tmp_path)
    try:
        variables = address_variables(tier)
    finally:
        tier.stop()
    assert set(re.findall(r"\$([A-Z_0-9]+)", TUTORIAL)) <= set(variables)
    assert f". target/tier/{ADDRESS_FILE}" in TUTORIAL


def test_paths_in_the_tutorial_are_routed():
    paths = re.findall(r"http://\$[A-Z_0-9]+(/\S*)", "\n".join(tutorial_commands()))
    unrouted = {GET_PATH, PUT_PATH, INSTANCES_PATH, READY_PATH, "/nowhere/"}
    routed = [path for path in paths if path not in unrouted]
    assert routed and all(path.startswith((PLAIN_PATH, STREAM_PATH, MOVED_PATH)) for path in routed)
    assert f"Host: {HOST}" in TUTORIAL


def test_sed_scripts_in_the_tutorial_produce_valid_configurations():
    configuration = json.dumps(sample_configuration(1))
    for script in re.findall(r"sed '([^']*)'", "\n".join(tutorial_commands())):
        for _, old, new in re.findall(r"s([/#])(.+?)\1(.+?)\1", script):
            assert old in configuration, script
            configuration = configuration.replace(old, new)
    changed = parse_configuration(configuration.encode())
    assert changed.generation == 3 and changed.route_for(HOST, f"{MOVED_PATH}item") is not None


def test_tier_options_from_the_command_line(tmp_path):
    def options(*words):
        return tier_options(build_parser().parse_args(["tier", *words]))

    assert options() == TierOptions()
    assert options("--keep").seconds == FOREVER
    assert options("--keep", "--seconds", "3").seconds == 3.0
    assert options("--kill", "store", "--folder", str(tmp_path)) == TierOptions(tmp_path, 0.0, InjectedFault.STORE)


def test_folder_that_is_not_empty_is_rejected_and_unchanged(tmp_path):
    (tmp_path / "mine").touch()
    with pytest.raises(FolderNotEmptyError):
        run_tier(TierOptions(tmp_path), print)
    assert [path.name for path in tmp_path.iterdir()] == ["mine"]

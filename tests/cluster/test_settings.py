"""The settings file: parsing, validation and the reported faults."""

import tomllib
from pathlib import Path
from typing import Any

import pytest
from cluster import samples
from hypothesis import given
from hypothesis import strategies as st

from dewpin.cluster.settings import (
    Bounds,
    Cloud,
    FaultTolerance,
    InvalidSettingsError,
    MachineLimits,
    PortRange,
    load_settings,
    parse_settings,
    settings_or_exit,
)


def changed(**changes: Any) -> dict[str, Any]:
    return {**tomllib.loads(samples.SETTINGS), **changes}


def without(key: str) -> dict[str, Any]:
    raw = changed()
    del raw[key]
    return raw


def faults_of(raw: dict[str, Any]) -> list[str]:
    with pytest.raises(InvalidSettingsError) as caught:
        parse_settings(raw)
    return caught.value.lines()


def test_complete_file_is_parsed(tmp_path: Path):
    path = tmp_path / "settings.toml"
    path.write_text(samples.SETTINGS)
    settings = load_settings(path)
    assert (settings.node_name, settings.serves, settings.data_dir) == ("front-east-1", {"front"}, None)
    assert settings.port_range == PortRange(7380, 7395) and 7395 in settings.port_range
    assert 7396 not in settings.port_range
    assert settings.seeds == ("10.1.0.34:8144", "10.2.0.38:8144")
    assert settings.bootstrap and not settings.counts_for_quorum
    assert settings.listen == {"front": "10.1.0.30:8149", "ready": "10.1.0.30:8141"}
    assert settings.limits == MachineLimits(0.5, 2.0, 300.0, 4100, 1000.0, 0.0)
    assert settings.fault_tolerance == FaultTolerance(machines=2, zones=1, regions=0)
    assert settings.bounds == Bounds(config_apply_ms=1700.0, grace_s=6.5)
    assert settings.cloud == Cloud("10.200.0.100:8142", 44.0, 800.0)
    assert (settings.region_of("west"), settings.region_of("new")) == ("south", "new")
    assert settings.log_level == "notice"


def test_store_needs_a_folder_and_only_the_control_address():
    settings = parse_settings(
        changed(serves=["store", "control"], data_dir="/data/control_server", listen={"control": "10.1.0.30:8144"})
    )
    assert settings.data_dir == Path("/data/control_server")


def test_omitted_fields_get_defaults():
    raw = {
        "node_name": "n",
        "serves": [],
        "ip": "10.0.0.1",
        "zone": "z",
        "port_range": [1, 2],
    }
    settings = parse_settings(raw)
    assert (settings.region, settings.bounds, settings.cloud) == ("z", Bounds(), None)
    assert settings.seeds == () and not settings.bootstrap
    assert parse_settings(without("region")).region == "north"


@pytest.mark.parametrize(
    ("raw", "faults"),
    [
        (without("node_name"), ["node_name: is missing"]),
        (changed(node_name=""), ["node_name: expected a name, got ''"]),
        (changed(ip="localhost"), ["ip: expected an IPv4 address, got 'localhost'"]),
        (
            changed(port_range=[7395, 7380]),
            ["port_range: expected the first and the last port, from 1 to 65535, got [7395, 7380]"],
        ),
        (changed(port_range=[7380, "x"]), ["port_range[1]: expected a whole number, got 'x'"]),
        (changed(seeds=["10.1.0.34:8144", "10.1.0.35"]), ["seeds[1]: expected IP:PORT, got '10.1.0.35'"]),
        (changed(seeds=["10.1.0.34:70000"]), ["seeds[0]: expected IP:PORT, got '10.1.0.34:70000'"]),
        (changed(bootstrap="yes"), ["bootstrap: expected true or false, got 'yes'"]),
        (changed(log_level="loud"), ["log_level: expected one of debug, info, notice, warning, error, got 'loud'"]),
        (changed(listen={"front": "10.1.0.30:8149"}), ["listen.ready: is missing: the process serves front"]),
        (without("listen"), None),
        (changed(serves=["store"], data_dir=""), ["data_dir: is missing: the process serves store"]),
        (changed(bounds={"grace_s": -1}), ["bounds.grace_s: expected 0 or more, got -1"]),
        (changed(bounds={"grace_s": float("inf")}), ["bounds.grace_s: expected a finite number, got inf"]),
        (changed(cloud={"rate_per_s": "fast"}), None),
        (changed(zones={"east": 3}), ["zones.east: expected a string, got 3"]),
    ],
)
def test_fault_is_reported_with_key_and_expectation(raw: dict[str, Any], faults: list[str] | None):
    found = faults_of(raw)
    if faults is None:
        assert len(found) == 2
    else:
        assert found == faults


def test_every_fault_is_reported_at_once():
    raw = changed(ip=3, serves=["front", 1], bounds={"ack_ms": "x"}, limits=[], fault_tolerance={"zones": 0.5})
    keys = {line.partition(":")[0] for line in faults_of(raw)}
    assert keys == {"ip", "serves[1]", "bounds.ack_ms", "limits", "fault_tolerance.zones"}


def test_invalid_settings_exit_with_a_line_for_each_fault(tmp_path: Path, capsys: Any):
    path = tmp_path / "settings.toml"
    path.write_text(samples.SETTINGS.replace("7380", "0").replace('"10.1.0.30"', '"nowhere"'))
    with pytest.raises(SystemExit) as caught:
        settings_or_exit({"DEWPIN_BOOT": str(path)})
    assert caught.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2 and all(line.startswith(f"{path}: ") for line in lines)


@pytest.mark.parametrize("content", [None, "a = ", "\xff"])
def test_unreadable_file_is_a_fault(tmp_path: Path, content: str | None, capsys: Any):
    path = tmp_path / "settings.toml"
    if content is not None:
        path.write_bytes(content.encode("latin-1"))
    with pytest.raises(SystemExit) as caught:
        settings_or_exit({"DEWPIN_BOOT": str(path)})
    assert caught.value.code == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_missing_variable_exits(capsys: Any):
    with pytest.raises(SystemExit):
        settings_or_exit({})
    assert capsys.readouterr().err.startswith("DEWPIN_BOOT: ")


TOML_VALUES = st.recursive(
    st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=4,
)


@given(st.data())
def test_any_modified_file_is_parsed_or_rejected_by_key(data: st.DataObject):
    raw = changed()
    for _ in range(data.draw(st.integers(1, 3))):
        raw[data.draw(st.sampled_from(sorted(raw)))] = data.draw(TOML_VALUES)
    try:
        parse_settings(raw)
    except InvalidSettingsError as invalid:
        assert all(": " in line for line in invalid.lines())

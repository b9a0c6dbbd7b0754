"""Reading the configuration: precedence of the layers, complete error reports, and secrets that must stay hidden."""

import json
import tomllib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewpin.config import operator_file, units
from dewpin.config.consistency import find_warnings
from dewpin.config.documentation import configuration_page, example_file, explain_key, json_schema, value_rows
from dewpin.config.errors import ConfigurationError
from dewpin.config.keys import KEYS
from dewpin.config.loading import load_configuration
from dewpin.config.sections import Deployment
from dewpin.config.toml_lines import line_numbers
from driver import settings

ROOT = Path(__file__).resolve().parents[2]


@pytest.fixture
def load_files(tmp_path):
    """Return a function that writes the platform's and the operator's file and loads all layers."""

    def load(operator_text="", platform=None, flags=(), requires_end=False, **variables):
        platform_settings = settings()
        platform_settings["Services"][0]["Name"] = "status"
        (tmp_path / "config.json").write_text(json.dumps({"settings": platform_settings} | (platform or {})))
        (tmp_path / "dewpin.toml").write_text(operator_text)
        return load_configuration(
            {"LB_CONFIG": str(tmp_path / "config.json"), **variables},
            flags,
            str(tmp_path / "dewpin.toml"),
            requires_end,
        )

    return load


def issues_of(load, *args, **options):
    with pytest.raises(ConfigurationError) as caught:
        load(*args, **options)
    return [str(issue) for issue in caught.value.issues]


def test_precedence_is_flags_platform_operator_file_defaults(load_files):
    text = '[sender]\nname = "op"\nlisten = "127.0.0.1:1"\n[limits]\nmemory = "64MB"\n[door]\nidle = "20s"\n'
    configuration = load_files(
        text,
        {"name": "plat", "limits": {"memory_mb": 100}},
        ["sender.name=flag", "log.rate=7"],
        LB_NAME="var",
        LB_LISTEN="127.0.0.1:2",
    )
    deployment = configuration.deployment
    assert (
        deployment.sender.name,
        deployment.sender.listen_address,
        deployment.limits.memory_bytes,
        deployment.client_connections.max_idle_ms,
        deployment.log.max_lines_per_second,
        deployment.stop.end_ms,
    ) == (
        "flag",
        "127.0.0.1:2",
        100e6,
        20000.0,
        7,
        3500.0,
    )
    assert [
        configuration.origins[key]
        for key in ("sender.name", "sender.listen", "limits.memory", "door.idle", "stop.ends")
    ] == ["flag", "LB_LISTEN", "config.json limits.memory_mb", "dewpin.toml:7", "default"]


def test_issues_of_all_layers_are_reported_together_with_location_and_suggested_key(load_files):
    text = (
        'format = 1\n[limts]\nmemory = "3MB"\n[limits]\nmemory = 64\ndsk = "3MB"\nsockets = "many"\n[stop]\n'
        'sends = "5s"\nends = "3 parsecs"\n[log]\nlevel = "loud"\nheld = "1GB"\n[agent]\nidle = "1s"\n'
    )
    issues = issues_of(
        load_files, text, {"discovery": "nowhere", "limits": {"memory_mb": "x"}, "known": []}, ["log.lvl=3", "x"]
    )
    for expected in (
        "--set: log.lvl: unknown key; did you mean log.level?",
        "--set: x: expected KEY=VALUE",
        "dewpin.toml:2: limts: unknown section or key; did you mean limits?",
        'dewpin.toml:5: limits.memory: expected a size with its unit, as in "64MB" or "512KiB": the unit is missing',
        "dewpin.toml:6: limits.dsk: unknown key; did you mean limits.disk?",
        "dewpin.toml:7: limits.sockets: expected a whole number, at least 128, at most 1048576, got 'many'",
        "dewpin.toml:10: stop.ends: expected a duration in one of ms, s, min, h, d",
        "dewpin.toml:12: log.level: expected a value, one of debug, info, warning, error, got 'loud'",
        "dewpin.toml:13: log.held: expected a size, at least 0B, at most 16MB, got '1GB'",
        "dewpin.toml:15: agent.idle: unknown key; did you mean",
        "config.json: discovery: expected host:port, got 'nowhere'",
        "config.json: limits.memory_mb: expected a number, at least 32MB, got 'x'",
        "config.json: known: expected an object, got []",
        "dewpin.toml:9: stop.sends: attempts would be started until 5s after the signal, later than the exit",
    ):
        assert any(issue.startswith(expected) for issue in issues), (expected, issues)
    assert len(issues) == 14


@pytest.mark.parametrize(
    "text, message",
    [
        ('[stop]\nsends = "4s"\n', "dewpin.toml:2: stop.sends: attempts would be started until 4s after the signal"),
        (
            '[door]\nidle = "1s"\n',
            "dewpin.toml:2: door.idle: connections are closed after door.idle = 1s, which is less than door.rest = 2s",
        ),
        (
            "[door]\nclients = 1000\n[calls]\nidle = 100\n",
            "dewpin.toml:2: door.clients: door.clients + calls.idle = 1100",
        ),
        (
            '[limits]\nmemory = "32MB"\n[log]\nheld = "4MB"\n',
            "dewpin.toml:4: log.held: log.held = 4MB is more than a sixteenth",
        ),
        ('[control]\ntoken = "hush"\n', "dewpin.toml:2: control.token: a token is set but control.socket is not"),
        (
            '[sender]\nlisten = "127.0.0.1:8500"\n',
            "dewpin.toml:2: sender.listen: the sender and the agent have the same address",
        ),
        (
            '[control]\nsocket = "/a\\u0000b"\n',
            "dewpin.toml:2: control.socket: expected text without control characters",
        ),
        ("limits = 3\n", "dewpin.toml:1: limits: expected a table"),
        ("format = 9\n[limits]\nnovel = 3\n", "dewpin.toml:1: format: this file requires a newer program"),
        ("format = true\n", "dewpin.toml:1: format: expected a whole number from 1"),
        ('[end]\n[limits]\ndisk = "3MB"\n', "dewpin.toml:1: end: expected [end] as the last line"),
        ("[end]\nmore = 1\n", "dewpin.toml:1: end: expected"),
        ("a = \n", "dewpin.toml:1: invalid TOML: invalid value"),
        ('[limits]\ndisk = "3M', "dewpin.toml:2: invalid TOML"),
        ('[limits]\ndisk = "3MB"\ndisk = "4MB"\n', "dewpin.toml:3: invalid TOML"),
    ],
)
def test_contradictory_malformed_or_newer_file_is_rejected(load_files, text, message):
    assert any(issue.startswith(message) for issue in issues_of(load_files, text)), issues_of(load_files, text)


def test_platform_values_are_accepted_even_if_they_contradict_each_other(load_files):
    configuration = load_files(
        "",
        {
            "stop": {"sends_ms": 5000.0, "ends_ms": 100},
            "limits": {"cores": 0.3, "sockets": 128.0},
            "seed": 255,
            "more": 1,
        },
    )
    assert (configuration.deployment.stop.start_attempts_ms, configuration.deployment.sender.seed) == (5000.0, "ff")
    assert not configuration.warnings
    platform_settings = settings(call_slots=60) | {"Services": [{"Name": "x"}]}
    assert (
        "leaves fewer than 8 descriptors"
        in load_files("", {"limits": {"sockets": 128}, "settings": platform_settings}).warnings[0]
    )


def test_unknown_setting_values_cause_warnings():
    decision_settings = settings(effects=("keyed", "keyed")) | {"RegistryMode": "gossip"}
    decision_settings["FamilyInfo"]["Decay"] = "steps"
    for position, service in enumerate(decision_settings["Services"]):
        service |= {"Name": f"c{position}", "KeyScope": ("all", "rack")[position]}
    assert find_warnings(Deployment(), decision_settings) == [
        "settings.RegistryMode = 'gossip' is not one of pushed, on_request; it is treated as pushed",
        "settings.FamilyInfo.Decay = 'steps' is not one of line, halves; it is treated as line",
        "settings.Services[1].KeyScope = 'rack' is not one of all, zone, cell; it is treated as cell",
    ]


def test_file_truncated_at_any_line_is_rejected_if_an_end_table_is_required(load_files):
    complete = example_file()
    assert (
        load_files(complete).has_end and load_files(complete, requires_end=True).deployment == load_files("").deployment
    )
    lines = complete.splitlines(keepends=True)
    for line_count in range(len(lines)):
        assert issues_of(load_files, "".join(lines[:line_count]), requires_end=True), line_count


def test_secrets_are_never_shown(load_files):
    configuration = load_files('[control]\nsocket = "/x"\ntoken = "hush-hush"\n')
    output = json.dumps([value_rows(configuration), explain_key(KEYS["control.token"], configuration), json_schema()])
    assert "hush" not in output and "(set, not shown)" in output
    assert not any(
        "123454321" in issue for issue in issues_of(load_files, "[control]\nsocket = '/x'\ntoken = 123454321\n")
    )


def test_example_page_and_schema_are_current_and_cover_all_keys(load_files):
    assert (ROOT / "deploy/dewpin.toml").read_text() == example_file()
    assert (ROOT / "docs/configuration.md").read_text() == configuration_page()
    example = tomllib.loads(example_file())
    assert {
        f"{section}.{name}" for section, table in example.items() if isinstance(table, dict) for name in table
    } == set(KEYS)
    schema_sections = json_schema()["properties"]
    for path, key in KEYS.items():
        section, _, name = path.partition(".")
        assert (
            explain_key(key)["key"] == path
            and schema_sections[section]["properties"][name]["description"] == key.description
        )


@given(st.sampled_from(sorted(units.UNITS)), st.integers(0, 10**12))
def test_formatted_quantity_parses_to_the_same_amount(kind, amount):
    assert units.parse_quantity(kind, units.format_quantity(kind, float(amount))) == amount


@pytest.mark.parametrize(
    "kind, text, amount",
    [
        ("duration", "250ms", 250.0),
        ("duration", " 1.5 s ", 1500.0),
        ("duration", "2min", 120000.0),
        ("duration", "1h", 3.6e6),
        ("size", "64MB", 64e6),
        ("size", "1KiB", 1024.0),
        ("size", "0B", 0.0),
        ("duration", "250", None),
        ("duration", 250, None),
        ("duration", "-1s", None),
        ("duration", "1 MB", None),
        ("size", "3 mb", None),
        ("size", True, None),
        ("size", "1e3MB", None),
        ("size", "", None),
        ("size", [1], None),
    ],
)
def test_quantity_with_a_known_unit_is_parsed_and_any_other_is_rejected(kind, text, amount):
    if amount is None:
        with pytest.raises(ValueError, match="expected a"):
            units.parse_quantity(kind, text)
    else:
        assert units.parse_quantity(kind, text) == amount


@given(
    st.binary(max_size=200)
    | st.text(max_size=200).map(str.encode)
    | st.lists(
        st.sampled_from(
            [
                b"[limits]",
                b"\n",
                b"memory",
                b" = ",
                b'"1MB"',
                b"[",
                b"]",
                b"'''",
                b"{",
                b"#",
                b"end",
                b".",
                b"1",
                b"format",
                b"=",
                b'"',
            ]
        )
    ).map(b"".join)
)
def test_arbitrary_file_content_raises_only_configuration_errors(tmp_path_factory, content):
    path = tmp_path_factory.getbasetemp() / "any.toml"
    path.write_bytes(content)
    with pytest.raises(ConfigurationError):  # always raised, as no platform's file is configured
        load_configuration({}, (), str(path))


def test_line_numbers_are_correct_after_multiline_strings_and_arrays():
    text = (
        'a = """\n[no]\nx = 1\n"""\nb = [\n  1,\n  {c = 2},\n]\n[ t . "u" ]\nd."e" = "# ["\n\'f\' = 2\n[[g]]\nh = 1\n'
    )
    assert line_numbers(text) == {"a": 1, "b": 5, "t.u": 9, "t.u.d.e": 10, "t.u.f": 11, "g": 12, "g.h": 13}


def test_missing_file_folder_pipe_and_oversized_file_are_reported(tmp_path, load_files):
    import os

    os.mkfifo(tmp_path / "pipe")
    (tmp_path / "huge").write_bytes(b"#" * (operator_file.MAX_BYTES + 1))
    for name, message in (
        ("none", "No such file"),
        (".", "Is a directory"),
        ("pipe", "regular file"),
        ("huge", "at most"),
    ):
        issues = issues_of(lambda name=name: load_configuration({}, (), str(tmp_path / name)))
        assert any(message in issue for issue in issues), issues

"""The operator's configuration: parsing, validation and route selection."""

import json
from typing import Any

import pytest
from cluster import samples
from hypothesis import given
from hypothesis import strategies as st

from dewpin.cluster.configuration import InvalidConfigurationError, Share, parse_configuration


def encoded(value: Any) -> bytes:
    return json.dumps(value).encode()


def faults_of(body: bytes) -> list[str]:
    with pytest.raises(InvalidConfigurationError) as caught:
        parse_configuration(body)
    return caught.value.lines()


def test_complete_configuration_is_parsed_and_kept_exactly():
    raw = samples.configuration()
    raw["later"] = {"unknown": [1, None]}
    raw["routes"][0]["later"] = "kept"
    configuration = parse_configuration(encoded(raw))
    assert configuration.raw == raw
    assert configuration.generation == 7
    talk, look = configuration.routes
    assert (talk.kind, talk.timeout_ms, talk.retained, talk.gap_aim_ms) == ("stream", 4000.0, True, 200.0)
    assert talk.is_stream and not talk.may_repeat and look.may_repeat
    assert talk.split == (Share("engines", 1.0),)
    assert look.split == (Share("engines", 90.0), Share("plain", 10.0))
    engine = configuration.services["engines"].engine
    assert engine is not None and (engine.chunk_size, engine.models) == (10, ("m",))
    assert configuration.services["plain"].engine is None
    assert configuration.limits.idle_timeout_ms == 15000.0


def test_absent_and_null_optional_fields_get_defaults():
    route = {"hostname": "a.example", "path_prefix": "/", "backend": "s", "split": None, "gap_aim_ms": None}
    raw = {"generation": 1, "routes": [route], "services": [{"name": "s", "engine": None}]}
    configuration = parse_configuration(encoded(raw))
    (parsed_route,) = configuration.routes
    assert parsed_route.timeout_ms > 0 and parsed_route.target_ms == parsed_route.timeout_ms
    assert not parsed_route.may_repeat and parsed_route.retries == 1 and parsed_route.gap_aim_ms is None
    assert configuration.limits.max_body_bytes > 0


def test_configuration_without_routes_or_services_is_valid():
    assert parse_configuration(b'{"generation": 1, "routes": [], "services": []}').route_for("a", "/") is None


def test_share_with_zero_weight_is_left_out():
    raw = samples.configuration()
    raw["routes"][1]["split"][1]["weight"] = 0
    assert parse_configuration(encoded(raw)).routes[1].split == (Share("engines", 90.0),)


def changed(**changes: Any) -> dict[str, Any]:
    raw = samples.configuration()
    raw["routes"][1].update(changes)
    return raw


@pytest.mark.parametrize(
    ("raw", "expected_faults"),
    [
        (changed(timeout_ms=0), ["routes[1].timeout_ms: expected more than 0, got 0"]),
        (changed(timeout_ms=True), ["routes[1].timeout_ms: expected a finite number, got True"]),
        (changed(retries=1.5), ["routes[1].retries: expected a whole number, got 1.5"]),
        (changed(timeout_ms=10**400), None),
        (changed(path_prefix="/talk/"), ["routes[1]: has the same host and prefix as routes[0]"]),
        (
            changed(path_prefix="/talk/", hostname="ONE.example:80"),
            ["routes[1]: has the same host and prefix as routes[0]"],
        ),
        (changed(backend="absent"), ["routes[1].backend: there is no service 'absent'"]),
        (changed(split=None), ["routes[1]: names no service: expected `backend` or `split`"]),
        (changed(split=[]), ["routes[1].split: the weights add up to 0"]),
        (
            changed(split=[{"backend": "plain", "weight": 0}, {"backend": "engines", "weight": 0.0}]),
            ["routes[1].split: the weights add up to 0"],
        ),
        (
            changed(split=[{"backend": "gone", "weight": -1}, {"weight": 3}]),
            ["routes[1].split[1].backend: is missing"],
        ),
        (
            changed(split=[{"backend": "gone", "weight": -1}, {"backend": "plain", "weight": 1}]),
            [
                "routes[1].split[0].backend: there is no service 'gone'",
                "routes[1].split[0].weight: expected 0 or more, got -1",
            ],
        ),
    ],
)
def test_fault_is_reported_with_its_path(raw: dict[str, Any], expected_faults: list[str] | None):
    faults = faults_of(encoded(raw))
    assert faults if expected_faults is None else faults == expected_faults


def test_every_fault_is_reported_at_once():
    raw = samples.configuration()
    raw["routes"].append({**raw["routes"][0], "path_prefix": "/more/", "backend": "absent"})
    raw["generation"] = "seven"
    raw["routes"][0]["timeout_ms"] = 0
    raw["routes"][1]["split"][0]["weight"] = "much"
    raw["services"][1]["max_conns"] = []
    del raw["routes"][1]["hostname"]
    raw["limits"]["idle_timeout_ms"] = {}
    paths = [line.partition(":")[0] for line in faults_of(encoded(raw))]
    assert sorted(paths) == [
        "generation",
        "limits.idle_timeout_ms",
        "routes[0].timeout_ms",
        "routes[1].hostname",
        "routes[1].split[0].weight",
        "routes[2].backend",
        "services[1].max_conns",
    ]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"null",
        b"\xff\xfe\x00",
        b'{"generation": NaN, "routes": [], "services": []}',
        b'{"generation": 1, "generation": 2, "routes": [], "services": []}',
        b"[" * 100_000,
        b'{"generation": ' + b"9" * 10_000 + b', "routes": [], "services": []}',
    ],
)
def test_unreadable_body_is_rejected(body: bytes):
    assert len(faults_of(body)) == 1


@given(st.integers(min_value=0, max_value=len(encoded(samples.configuration())) - 1))
def test_truncated_body_is_rejected(length: int):
    assert faults_of(encoded(samples.configuration())[:length])


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


def all_entries(value: Any) -> list[tuple[Any, Any]]:
    """Return the container and the key of every value inside `value`."""
    keys = value.keys() if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ()
    found = [(value, key) for key in keys]
    return found + [entry for key in keys for entry in all_entries(value[key])]


@given(st.data())
def test_any_modified_configuration_is_parsed_exactly_or_rejected_with_paths(data: st.DataObject):
    raw = samples.configuration()
    for _ in range(data.draw(st.integers(1, 3))):
        container, key = data.draw(st.sampled_from(all_entries(raw)))
        if isinstance(container, dict) and data.draw(st.booleans()):
            del container[key]
        else:
            container[key] = data.draw(JSON_VALUES)
    try:
        configuration = parse_configuration(encoded(raw))
    except InvalidConfigurationError as invalid:
        assert all(invalid.lines())
    else:
        assert json.dumps(configuration.raw) == json.dumps(raw)
        assert all(route.split for route in configuration.routes)


def routes_at(*places: tuple[str, str]) -> bytes:
    routes = [
        {"name": f"r{index}", "hostname": host, "path_prefix": prefix, "backend": "s"}
        for index, (host, prefix) in enumerate(places)
    ]
    return encoded({"generation": 1, "routes": routes, "services": [{"name": "s"}]})


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/one/x", "r1"),
        ("A.Example:8080", "/one/two/", "r2"),
        ("a.example", "/one/two", "r1"),
        ("a.example", "/one?to=/one/two/", "r0"),
        ("a.example", "/", "r0"),
        ("b.example", "/one/", None),
        ("b.example", "/only/x?q", "r3"),
        ("[::1]:80", "/v6/", "r4"),
        ("c.example", "/", None),
        ("a.example", "", None),
    ],
)
def test_route_with_longest_prefix_is_chosen(host: str, path: str, name: str | None):
    places = [("a.example", "/"), ("a.example", "/one/"), ("a.example", "/one/two/"), ("b.example", "/only/")]
    configuration = parse_configuration(routes_at(*places, ("[::1]", "/v6/")))
    route = configuration.route_for(host, path)
    assert (route.name if route else None) == name


SEGMENTS = st.lists(st.sampled_from("abc"), max_size=4)


@given(st.sets(SEGMENTS.map(lambda parts: "".join(f"/{part}" for part in parts) + "/"), max_size=8), SEGMENTS)
def test_route_index_agrees_with_linear_search(prefixes: set[str], parts: list[str]):
    path = "/" + "/".join(parts)
    configuration = parse_configuration(routes_at(*[("h", prefix) for prefix in sorted(prefixes)]))
    found = configuration.route_for("h", path)
    expected_prefix = max((prefix for prefix in prefixes if path.startswith(prefix)), key=len, default=None)
    assert (found.path_prefix if found else None) == expected_prefix

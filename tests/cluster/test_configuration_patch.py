"""Configuration patches: validation of their shape, their results and rejected patches."""

import json

import pytest
from cluster import samples

from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration, parse_patch


def patched(patch, configuration=None):
    body = json.dumps(configuration or samples.configuration())
    return json.loads(parse_patch(json.dumps(patch).encode()).apply(body))


def faults_of(patch, configuration=None):
    with pytest.raises(InvalidConfigurationError) as raised:
        patched(patch, configuration)
    return raised.value.lines()


def route(name, prefix):
    return {**samples.configuration()["routes"][0], "name": name, "path_prefix": prefix}


def names(configuration, list_name="routes"):
    return [item["name"] for item in configuration[list_name]]


def test_patch_replaces_items_in_position_and_appends_new_ones():
    before = samples.configuration()
    first = names(before)[0]
    after = patched({"generation": 9, "upsert": {"routes": [route("r-new", "/new/"), route(first, "/moved/")]}})
    assert names(after) == [*names(before), "r-new"]
    assert after["routes"][0]["path_prefix"] == "/moved/"
    assert after["generation"] == 9
    assert after["services"] == before["services"]


def test_patch_deletes_by_name_and_ignores_unknown_names():
    before = samples.configuration()
    first = names(before)[0]
    after = patched({"generation": 9, "delete": {"routes": [first, "r-never-there"]}})
    assert names(after) == names(before)[1:]


def test_name_deleted_and_upserted_exists_afterwards():
    before = samples.configuration()
    first = names(before)[0]
    change = {"generation": 9, "delete": {"routes": [first]}, "upsert": {"routes": [route(first, "/again/")]}}
    after = patched(change)
    assert names(after) == [*names(before)[1:], first]


def test_service_is_added_and_removed_with_its_routes():
    service = {"name": "svc-new", "health_path": "/health", "max_conns": 8}
    new_route = {**route("r-new", "/new/"), "backend": "svc-new"}
    new_route.pop("split", None)
    after = patched({"generation": 9, "upsert": {"services": [service], "routes": [new_route]}})
    assert "svc-new" in names(after, "services")
    removal = {"generation": 10, "delete": {"services": ["svc-new"], "routes": ["r-new"]}}
    assert patched(removal, after) == {**samples.configuration(), "generation": 10}


def test_unknown_fields_are_kept():
    before = {**samples.configuration(), "comment": "\u00e9"}
    assert patched({"generation": 9, "upsert": {"routes": []}}, before) == {**before, "generation": 9}


def test_empty_patch_makes_a_new_generation():
    assert patched({"generation": 9}) == {**samples.configuration(), "generation": 9}
    assert patched({"generation": 9, "upsert": None, "delete": None}) == {**samples.configuration(), "generation": 9}


def test_patched_configuration_is_validated():
    unknown_service = {**route("r-new", "/new/"), "backend": "svc-nowhere"}
    unknown_service.pop("split", None)
    same_prefix_route = route("r-new", samples.configuration()["routes"][0]["path_prefix"])
    service_names = names(samples.configuration(), "services")
    assert "svc-nowhere" in faults_of({"generation": 9, "upsert": {"routes": [unknown_service]}})[0]
    assert "same host and prefix" in faults_of({"generation": 9, "upsert": {"routes": [same_prefix_route]}})[0]
    assert faults_of({"generation": 9, "delete": {"services": service_names}})


@pytest.mark.parametrize(
    ("patch", "place"),
    [
        ({}, "generation"),
        ({"generation": "9"}, "generation"),
        ({"generation": 9, "upsert": []}, "upsert"),
        ({"generation": 9, "upsert": {"routes": {}}}, "upsert.routes"),
        ({"generation": 9, "upsert": {"routes": [{"hostname": "a.example"}]}}, "upsert.routes[0].name"),
        ({"generation": 9, "upsert": {"routes": [{"name": 7}]}}, "upsert.routes[0].name"),
        ({"generation": 9, "upsert": {"routes": ["r"]}}, "upsert.routes[0]"),
        ({"generation": 9, "delete": {"routes": [7]}}, "delete.routes[0]"),
        ({"generation": 9, "delete": ["r"]}, "delete"),
        ({"generation": 9, "upsert": {"routes": [route("r", "/a/"), route("r", "/b/")]}}, "upsert.routes[1]"),
        ({"generation": 9, "upsert": {"limits": [{"name": "x"}]}}, "limits"),
    ],
)
def test_malformed_patch_is_rejected_with_the_path_of_its_fault(patch, place):
    assert any(line.startswith(place) for line in faults_of(patch))


def test_truncated_patch_is_rejected():
    whole = json.dumps({"generation": 9, "delete": {"routes": ["a"]}}).encode()
    for length in range(len(whole)):
        with pytest.raises(InvalidConfigurationError):
            parse_patch(whole[:length])


def test_long_list_is_patched_in_one_pass():
    routes = [route(f"r-{number}", f"/{number}/") for number in range(2000)]
    before = {**samples.configuration(), "routes": routes}
    replaced = [route(f"r-{number}", f"/moved-{number}/") for number in range(0, 2000, 2)]
    deleted = [f"r-{number}" for number in range(1, 2000, 4)]
    after = patched({"generation": 9, "upsert": {"routes": replaced}, "delete": {"routes": deleted}}, before)
    assert len(after["routes"]) == 1500
    assert parse_configuration(json.dumps(after).encode()).generation == 9

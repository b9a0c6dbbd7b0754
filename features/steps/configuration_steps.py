"""Steps of the operator's configuration: a body is changed, read, and accepted or refused."""

import json
import re
from typing import Any

from behave import given, then, when
from behave.runner import Context

from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration

VALID: dict[str, Any] = {
    "generation": 3,
    "routes": [
        {"name": "talk", "hostname": "one.example", "path_prefix": "/talk/", "timeout_ms": 900, "backend": "engines"},
        {
            "name": "look",
            "hostname": "one.example",
            "path_prefix": "/look/",
            "kind": "idempotent",
            "timeout_ms": 900,
            "split": [{"backend": "engines", "weight": 1}, {"backend": "plain", "weight": 0}],
        },
    ],
    "services": [{"name": "engines", "max_conns": 8}, {"name": "plain"}],
    "limits": {"max_body_bytes": 1024},
}


@given("a valid configuration")
def start_from_a_valid_configuration(context: Context) -> None:
    context.sent = json.loads(json.dumps(VALID))


@given('its field "{field}" is {value}')
def change_a_field(context: Context, field: str, value: str) -> None:
    *path, last = [int(step) if step.isdigit() else step for step in re.findall(r"\w+", field)]
    container = context.sent
    for step in path:
        container = container[step]
    if value == "absent":
        del container[last]
    else:
        container[last] = json.loads(value)


@when("it is read")
def read_it(context: Context) -> None:
    read(context, json.dumps(context.sent).encode())


@when("all but its last byte is read")
def read_it_cut_short(context: Context) -> None:
    read(context, json.dumps(context.sent).encode()[:-1])


def read(context: Context, body: bytes) -> None:
    context.configuration, context.faults = None, []
    try:
        context.configuration = parse_configuration(body)
    except InvalidConfigurationError as invalid:
        context.faults = list(invalid.exceptions)


@then("it is accepted")
def it_is_accepted(context: Context) -> None:
    assert context.configuration is not None, context.faults


@then("it reads back exactly as it was sent")
def it_reads_back(context: Context) -> None:
    assert json.dumps(context.configuration.raw) == json.dumps(context.sent)


@then("it is refused")
def it_is_refused(context: Context) -> None:
    assert context.configuration is None
    assert context.faults


@then("it is refused with faults at exactly")
def it_is_refused_at(context: Context) -> None:
    it_is_refused(context)
    assert sorted(fault.path for fault in context.faults) == sorted(row["place"] for row in context.table)


@then('a request to "{host}" for "{path}" takes the route "{name}"')
def a_request_takes_a_route(context: Context, host: str, path: str, name: str) -> None:
    route = context.configuration.route_for(host, path)
    assert (route.name if route else "none") == name

"""Steps for the operator's configuration: a body is modified, parsed, and accepted or rejected."""

import json
import re
from typing import Any

from behave import given, then, when
from behave.runner import Context

from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration

VALID_CONFIGURATION: dict[str, Any] = {
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
def use_valid_configuration(context: Context) -> None:
    context.submitted = json.loads(json.dumps(VALID_CONFIGURATION))


@given('its field "{field}" is {value}')
def set_field(context: Context, field: str, value: str) -> None:
    *parents, last_key = [int(step) if step.isdigit() else step for step in re.findall(r"\w+", field)]
    container = context.submitted
    for key in parents:
        container = container[key]
    if value == "absent":
        del container[last_key]
    else:
        container[last_key] = json.loads(value)


@when("it is parsed")
def parse_body(context: Context) -> None:
    parse(context, json.dumps(context.submitted).encode())


@when("it is parsed without its last byte")
def parse_truncated_body(context: Context) -> None:
    parse(context, json.dumps(context.submitted).encode()[:-1])


def parse(context: Context, body: bytes) -> None:
    context.configuration, context.errors = None, []
    try:
        context.configuration = parse_configuration(body)
    except InvalidConfigurationError as error:
        context.errors = list(error.exceptions)


@then("it is accepted")
def it_is_accepted(context: Context) -> None:
    assert context.configuration is not None, context.errors


@then("it is preserved exactly as submitted")
def it_is_preserved(context: Context) -> None:
    assert json.dumps(context.configuration.raw) == json.dumps(context.submitted)


@then("it is rejected")
def it_is_rejected(context: Context) -> None:
    assert context.configuration is None
    assert context.errors


@then("it is rejected with errors at exactly")
def it_is_rejected_at(context: Context) -> None:
    it_is_rejected(context)
    assert sorted(error.path for error in context.errors) == sorted(row["path"] for row in context.table)


@then('a request to "{host}" for "{path}" is routed to "{name}"')
def request_is_routed(context: Context, host: str, path: str, name: str) -> None:
    route = context.configuration.route_for(host, path)
    assert (route.name if route else "none") == name

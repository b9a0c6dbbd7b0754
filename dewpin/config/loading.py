"""Reads the layers of a configuration and merges them.

The layers in order of precedence, highest first: flags, the platform's file, its environment variables, the operator's
file, defaults. A configuration is accepted completely or not at all: one `ConfigurationError` holds all of its errors.
It is read at startup and at each SIGHUP; no state is kept in between.
"""

import os
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from .consistency import check_consistency, check_platform_settings, find_warnings
from .errors import ConfigurationError, ConfigurationIssue, suggest_name
from .keys import KEYS
from .layer import Issues, Layer
from .platform_file import platform_layer, read_platform_file
from .sections import Deployment

DEFAULT_ORIGIN = "default"
FLAG_ORIGIN = "flag"
FLAG_OPTION = "--set"
OPERATOR_FILE_VARIABLE = "DEWPIN_CONFIG"
PLATFORM_FILE_KEY = "platform.file"
PLATFORM_FILE_VARIABLE = "LB_CONFIG"
NO_PLATFORM_FILE = (
    "expected the path of the platform's JSON file in LB_CONFIG, --platform or the operator's file; found none"
)


class Configuration(msgspec.Struct):
    """A valid configuration.

    Attributes:
        deployment: values of all keys.
        known: the platform's latest endpoint list, in the agent's format.
        module: settings of the dispatcher, in the platform's format.
        origins: origin of each value by key path: "flag", "config.json limits.memory_mb", "dewpin.toml:12" or
            "default".
        warnings: messages about values that are allowed but probably unintended.
        has_end: whether the operator's file ended with an `[end]` table.
    """

    deployment: Deployment
    known: dict[str, Any]
    module: dict[str, Any]
    origins: dict[str, str]
    warnings: list[str]
    has_end: bool


def load_configuration(
    environment: Mapping[str, str],
    flags: Sequence[str] = (),
    operator_path: str | None = None,
    requires_end: bool = False,
) -> Configuration:
    """Read all layers and return the merged configuration.

    `environment`: environment variables; `flags`: "key=value" strings; `operator_path`: path of the operator's file,
    by default the value of DEWPIN_CONFIG, if any; `requires_end`: whether the operator's file must end with `[end]`,
    because the previous one did. Raises ConfigurationError with the issues of all layers.
    """
    issues: Issues = []
    flag_layer = _flag_layer(flags, issues)
    operator_layer, has_end = _operator_layer(
        operator_path or environment.get(OPERATOR_FILE_VARIABLE), issues, requires_end
    )
    platform_path = (
        flag_layer.values.get(PLATFORM_FILE_KEY)
        or environment.get(PLATFORM_FILE_VARIABLE)
        or operator_layer.values.get(PLATFORM_FILE_KEY)
    )
    layers = [flag_layer]
    document: dict[str, Any] = {}
    if platform_path:
        document = read_platform_file(platform_path, issues)
        layers.append(platform_layer(document, os.path.basename(platform_path), issues))
    else:
        issues.append(ConfigurationIssue(PLATFORM_FILE_KEY, "", NO_PLATFORM_FILE))
    layers += [_variable_layer(environment, issues), operator_layer]
    deployment, origins = _merge(layers)
    if platform_path:
        _check_platform_document(document, os.path.basename(platform_path), issues)
    issues += check_consistency(deployment, origins)
    if issues:
        raise ConfigurationError(issues)
    module = document.get("settings", {})
    warnings = find_warnings(deployment, module)
    return Configuration(deployment, document.get("known", {}), module, origins, warnings, has_end)


def _operator_layer(path: str | None, issues: Issues, requires_end: bool) -> tuple[Layer, bool]:
    """Return the layer of the operator's file, if any, and whether the file ends with `[end]`."""
    if not path:
        return Layer(), False
    from .operator_file import read_operator_file  # loads the TOML parser, which most senders do not need

    return read_operator_file(path, issues, requires_end)


def _check_platform_document(document: dict[str, Any], file: str, issues: Issues) -> None:
    is_readable = not any(issue.file == file and not issue.key for issue in issues)
    if is_readable:
        issues += check_platform_settings(document, file)


def _merge(layers: Sequence[Layer]) -> tuple[Deployment, dict[str, str]]:
    """Return the value of each key from the layer with the highest precedence, and its origin."""
    deployment = Deployment()
    origins = {}
    for key in KEYS.values():
        layer = next((layer for layer in layers if key.path in layer.values), None)
        if layer is None:
            origins[key.path] = DEFAULT_ORIGIN
        else:
            origins[key.path] = layer.origins[key.path]
            key.set(deployment, layer.values[key.path])
    return deployment, origins


def _flag_layer(flags: Sequence[str], issues: Issues) -> Layer:
    layer = Layer()
    for flag in flags:
        path, equals, value = flag.partition("=")
        key = KEYS.get(path)
        if not equals or key is None:
            message = "unknown key" if equals else "expected KEY=VALUE"
            issues.append(ConfigurationIssue(FLAG_OPTION, path, message, None, suggest_name(path, KEYS)))
            continue
        is_number = key.value_type is int and value.lstrip("-").isdigit()
        if layer.add(key, int(value) if is_number else value, FLAG_OPTION, path, issues):
            layer.origins[path] = FLAG_ORIGIN
    return layer


def _variable_layer(environment: Mapping[str, str], issues: Issues) -> Layer:
    layer = Layer()
    for key in KEYS.values():
        if key.variable and key.variable != PLATFORM_FILE_VARIABLE and environment.get(key.variable):
            layer.add(key, environment[key.variable], key.variable, "", issues)
    if path := environment.get(PLATFORM_FILE_VARIABLE):
        layer.values[PLATFORM_FILE_KEY], layer.origins[PLATFORM_FILE_KEY] = path, PLATFORM_FILE_VARIABLE
    return layer

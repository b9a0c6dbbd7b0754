"""Packages import each other in one direction only, and a process imports only what it uses."""

import ast
import fnmatch
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from python_source import parse_source

ROOT = Path(__file__).resolve().parents[1]
ALLOWED_IMPORTS = {  # package: the packages of dewpin that it may import
    "core": set(),
    "lab": {"peers"},
    "peers": set(),
    "config": set(),
    "log": set(),
    "spool": {"core", "log", "ports"},
    "relay": {"core", "log", "ports", "spool"},
    "console": {"log", "net"},
    "chunk_runs": set(),
    "parsed_size": set(),
    "net": {"chunk_runs", "core", "log", "parsed_size", "ports"},
    "simulator": {"core"},
    "ports": set(),
    "daemon": {"config", "console", "log", "net", "ports", "relay", "spool"},
    "cli": {"config", "daemon", "lab", "log", "spool"},
    "cluster": {"parsed_size"},
    "consensus": set(),
    "controlplane": {"cluster", "consensus", "parsed_size"},
    "dataplane": {"chunk_runs", "cluster", "consensus"},
    "standin": {"cluster"},
    "tier_cli": {"cluster", "controlplane"},  # register recovery writes a control server's storage
}
TIER = ("cluster", "consensus", "controlplane", "dataplane", "standin", "tier_cli")
# Package: its layers, lowest first. A layer may import only the layers before it.
SUBPACKAGES = {
    "controlplane": (
        "storage",
        "register",
        "platform_list_reader",
        "membership",
        "store",
        "sender_service",
        "control_server",
        "local_store",
        "operator_api",
        "operator_http",
        "control_process",
        "__main__",
    ),
    "dataplane": (
        "errors",
        "metrics",
        "http11",
        "programs",
        "membership",
        "cluster_state_updater",
        "agent_thread",
        "load_balancing",
        "upstream",
        "routing",
        "ingress",
        "sender_process",
        "__main__",
    ),
}
FORBIDDEN_IMPORTS = {
    "core": {"asyncio", "socket", "time", "os", "structlog", "msgspec"},
    "config": {"asyncio", "socket"},
    "spool": {"asyncio", "socket"},
    "relay": {"socket", "os"},
    "net": {"structlog"},
    "ports": {"asyncio"},
    "consensus": {"asyncio", "socket", "time", "os", "threading", "sqlite3"},
}


def imports(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    for node in ast.walk(parse_source(path)):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".") for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield node.module.split(".")
        elif isinstance(node, ast.ImportFrom):
            base = [*parts[: len(parts) - node.level], *(node.module or "").split(".")]
            yield from ([*filter(None, base), alias.name] for alias in node.names)


def test_packages_import_only_allowed_packages():
    for path in (ROOT / "dewpin").rglob("*.py"):
        package = path.relative_to(ROOT / "dewpin").parts[0].removesuffix(".py")
        if package in ("__init__", "__main__"):
            continue
        for name in imports(path):
            if name[0] == "dewpin" and len(name) > 1 and name[1] in ALLOWED_IMPORTS:
                assert name[1] == package or name[1] in ALLOWED_IMPORTS[package], f"{path}: {'.'.join(name)}"
            assert name[0] not in FORBIDDEN_IMPORTS.get(package, ()), f"{path}: {name[0]}"


@pytest.mark.parametrize("package", SUBPACKAGES)
def test_subpackages_import_only_lower_layers(package):
    layers = SUBPACKAGES[package]
    folder = ROOT / "dewpin" / package
    present = {path.stem for path in folder.iterdir() if path.suffix == ".py" or (path / "__init__.py").exists()}
    assert present - {"__init__"} == set(layers)
    for path in folder.rglob("*.py"):
        subpackage = path.relative_to(folder).parts[0].removesuffix(".py")
        for name in imports(path):
            if name[:2] == ["dewpin", package] and len(name) > 2 and name[2] != subpackage:
                assert layers.index(name[2]) < layers.index(subpackage), f"{path}: {'.'.join(name)}"


def test_every_package_has_allowed_imports():
    packages = {path.parent.name for path in (ROOT / "dewpin").glob("*/__init__.py")}
    assert packages <= set(ALLOWED_IMPORTS)


def test_all_packages_are_formatted_documented_and_strictly_typed():
    tool = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]
    ruff = tool["ruff"]
    excluded = [*ruff.get("format", {}).get("exclude", []), *ruff["extend-exclude"]]
    for package in ALLOWED_IMPORTS:
        for name in (f"dewpin/{package}/one.py", f"tests/{package}/one.py"):
            assert not [pattern for pattern in excluded if fnmatch.fnmatch(name, pattern)]
    assert {"N", "D100", "D101", "D102", "D103", "D104"} <= set(ruff["lint"]["select"])
    exempt = {pattern for pattern, rules in ruff["lint"]["per-file-ignores"].items() if {"N", "D"} & set(rules)}
    assert exempt == {"!{dewpin,benchmarks/capacity}/**"}
    [strict] = [row for row in tool["mypy"]["overrides"] if "disallow_any_generics" in row and "extra_checks" in row]
    assert "dewpin.*" in strict["module"] and tool["mypy"]["overrides"] == [strict]


def test_tier_programs_do_not_load_libraries_of_the_command_line():
    program = (
        "import sys\nfrom dewpin.cluster import configuration, errors, logs, settings\n"
        "print(sorted({name.partition('.')[0] for name in sys.modules} & "
        "{'click', 'typer', 'rich', 'structlog', 'pythonjsonlogger', 'urllib3', 'hypothesis', 'pytest'}))"
    )
    completed = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]", completed.stdout


def test_message_sender_loads_no_unused_library():
    program = (
        "import sys, dewpin.daemon.process, dewpin.log as log\n"
        "log.log_event(log.events.CONFIGURATION_WARNING, why='x')\n"
        "print(sorted({name.partition('.')[0] for name in sys.modules} & "
        "{'click', 'rich', 'tomllib', 'numpy', 'hypothesis', 'pytest', 'json'}))"
    )
    completed = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True)
    assert completed.stdout.strip() in ("[]", "['json']"), completed.stdout  # structlog needs json


def test_policy_lists_exactly_the_decision_modules_of_core():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    modules = {str(path.relative_to(ROOT)) for path in (ROOT / "dewpin/core").rglob("*.py")}
    data_modules = {"dewpin/core/__init__.py", "dewpin/core/model.py"}
    assert len(deploy["policy"]) == len(set(deploy["policy"]))
    assert set(deploy["policy"]) == modules - data_modules
    assert all((ROOT / name).exists() for name in deploy["policy"] + deploy["node"])


def test_other_packages_import_only_dispatcher_and_model_of_core():
    for path in (ROOT / "dewpin").rglob("*.py"):
        if path.relative_to(ROOT / "dewpin").parts[0] == "core":
            continue
        for name in imports(path):
            if name[:2] == ["dewpin", "core"] and len(name) > 2 and name[2] != "model":
                assert name[2] == "dispatcher", f"{path}: {'.'.join(name)}"


ALLOWED_IMPORT_CYCLES = {
    # messages, destinations and receivers have slots for the dispatcher's state, which refers back to them; these
    # imports are for type checking only and do not occur at run time
    frozenset(
        f"dewpin.core.{name}"
        for name in ("call", "destination_limits", "destination_queue", "message_state", "model", "receiver_health")
    ),
}
"""Groups of modules that may import each other for type checking."""


def module_name(path):
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported_modules(path, known):
    """Return the modules that a module imports, also for type checking: the longest known prefix of each name."""
    found = set()
    for name in imports(path):
        parts = [".".join(name[:length]) for length in range(len(name), 0, -1)]
        found |= set([part for part in parts if part in known][:1])
    return found - {module_name(path)}


def import_cycles(graph):
    """Return the groups of modules that import each other, directly or indirectly."""
    reachable = {module: set(targets) for module, targets in graph.items()}
    for middle in graph:  # transitive closure by Warshall's algorithm
        for targets in reachable.values():
            if middle in targets:
                targets |= reachable[middle]
    return {
        frozenset(other for other in targets if module in reachable[other])
        for module, targets in reachable.items()
        if module in targets
    }


def test_import_cycles_are_the_allowed_ones():
    paths = {module_name(path): path for path in (ROOT / "dewpin").rglob("*.py")}
    graph = {name: imported_modules(path, paths) for name, path in paths.items()}
    assert import_cycles(graph) == ALLOWED_IMPORT_CYCLES


def test_import_cycle_is_found():
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}, "e": set()}
    assert import_cycles(graph) == {frozenset("abc")}

"""Settings of all tests: Hypothesis generates the same examples in every run and has no deadline.

KNOWN-RED.txt at the root lists tests that fail because of a known fault. They run and are reported as expected
failures. The run fails if one of them passes, or if the list is malformed, too long or names a nonexistent test.
"""

import pytest
from hypothesis import settings

settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")

MAX_KNOWN_RED = 3


def parse_known_red(text):
    """Return {test: (cause, issue)} from lines `test | cause | issue`. Raises ValueError if the list is invalid."""
    rows = {}
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not parts[2].isdigit():
            raise ValueError(f"KNOWN-RED.txt:{number}: expected `test | cause | issue`, got {line!r}")
        if parts[0] in rows:
            raise ValueError(f"KNOWN-RED.txt:{number}: {parts[0]} is named twice")
        rows[parts[0]] = parts[1], parts[2]
    if len(rows) > MAX_KNOWN_RED:
        raise ValueError(f"KNOWN-RED.txt: {len(rows)} tests, {MAX_KNOWN_RED} at most")
    return rows


def pytest_collection_modifyitems(config, items):
    path = config.rootpath / "KNOWN-RED.txt"
    if not path.exists():
        return
    try:
        rows = parse_known_red(path.read_text())
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    items_by_id = {item.nodeid: item for item in items}
    collected = {nodeid.partition("::")[0] for nodeid in items_by_id}
    for test, (cause, issue) in rows.items():
        if test in items_by_id:
            items_by_id[test].add_marker(
                pytest.mark.xfail(reason=f"known red: {cause} (issue {issue})", strict=True, raises=AssertionError)
            )
        elif test.partition("::")[0] in collected and not any("::" in argument for argument in config.args):
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no {test}")

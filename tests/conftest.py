"""The same verdict every time, on a slow machine too: hypothesis draws the same examples and watches no clock.

KNOWN-RED.txt at the root names tests that fail for a known fault. They run and are printed; one that passes fails the
run until it leaves the list, and so does a list that is malformed, too long or names a test that there is not."""

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

MOST_RED = 3


def known_red(text):
    """{test: (cause, issue)} of the list's lines `test | cause | issue`; ValueError says what is wrong with it."""
    rows = {}
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not parts[2].isdigit():
            raise ValueError(f"KNOWN-RED.txt:{number}: expected `test | cause | issue`, got {line!r}")
        if parts[0] in rows:
            raise ValueError(f"KNOWN-RED.txt:{number}: {parts[0]} is named twice")
        rows[parts[0]] = parts[1], parts[2]
    if len(rows) > MOST_RED:
        raise ValueError(f"KNOWN-RED.txt: {len(rows)} tests, {MOST_RED} at most")
    return rows


def pytest_collection_modifyitems(config, items):
    path = config.rootpath / "KNOWN-RED.txt"
    if not path.exists():
        return
    try:
        rows = known_red(path.read_text())
    except ValueError as fault:
        raise pytest.UsageError(str(fault)) from None
    found = {item.nodeid: item for item in items}
    collected = {nodeid.partition("::")[0] for nodeid in found}
    for test, (cause, issue) in rows.items():
        if test in found:
            found[test].add_marker(
                pytest.mark.xfail(reason=f"known red: {cause} (issue {issue})", strict=True, raises=AssertionError)
            )
        elif test.partition("::")[0] in collected and not any("::" in given for given in config.args):
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no {test}")

"""Explores all states of the quick models within the bounds of `tests/model/catalogue.py`."""

import pytest

from tests.model.catalogue import MAX_STATES, QUICK
from tests.model.explorer import explore


@pytest.mark.parametrize("name", QUICK)
def test_all_reachable_states_satisfy_properties(name):
    report = explore(QUICK[name](), MAX_STATES)
    assert report.fault is None, report.text()
    assert report.complete

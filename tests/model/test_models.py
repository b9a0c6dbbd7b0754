"""Every state of the quick models, within the bounds that `tests/model/catalogue.py` gives."""

import pytest

from tests.model.catalogue import MOST_STATES, QUICK
from tests.model.explorer import explore


@pytest.mark.parametrize("name", QUICK)
def test_all_reachable_states_satisfy_properties(name):
    report = explore(QUICK[name](), MOST_STATES)
    assert report.fault is None, report.text()
    assert report.complete

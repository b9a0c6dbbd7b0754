"""Every state of the quick models, within the bounds that `tests/model/catalogue.py` gives."""

import pytest

from tests.model.catalogue import MOST_STATES, QUICK
from tests.model.explorer import explore


@pytest.mark.parametrize("name", QUICK)
def test_no_state_of_the_model_breaks_a_property(name):
    report = explore(QUICK[name](), MOST_STATES)
    assert report.fault is None, report.text()
    assert report.complete

"""Fixtures of the crowd tests. They run alone, after all other tests (`deploy/check`)."""

import pytest
from crowds.small_tier import SmallTier


@pytest.fixture
def small_tier(tmp_path):
    with SmallTier(tmp_path) as tier:
        yield tier

"""The same verdict every time, on a slow machine too: hypothesis draws the same examples and watches no clock."""
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

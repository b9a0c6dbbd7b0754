"""The estimate of a JSON text's values is not below what they take."""

import json
import tracemalloc

import pytest

from dewpin.parsed_size import parsed_bytes

COUNT = 20_000


@pytest.mark.parametrize(
    "value",
    [
        [[]] * COUNT,
        [{}] * COUNT,
        [[[]]] * COUNT,
        [0] * COUNT,
        [10**9 + number for number in range(COUNT)],
        [{f"name-{number}": {"a": [1.5, "text"]}} for number in range(COUNT)],
        {f"name-{number}": number for number in range(COUNT)},
        "a" * COUNT,
    ],
    ids=["arrays", "objects", "nested arrays", "small numbers", "numbers", "members", "one object", "string"],
)
def test_values_take_no_more_than_estimated(value):
    text = json.dumps(value, separators=(",", ":")).encode()
    del value
    tracemalloc.start()
    parsed = json.loads(text)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert parsed
    assert peak_bytes <= parsed_bytes(text)

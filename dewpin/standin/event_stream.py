"""The events of a stand-in stream service.

Their data depends only on the request body, so that any receiver can resume a stream of another one.
"""

import hashlib

DEFAULT_EVENT_COUNT = 4


def event_count(token_usage: str | None, chunk_size: int) -> int:
    """Return the number of events for the maximum output tokens in X-Dewpin-Token-Usage (input, output)."""
    if token_usage is None:
        return DEFAULT_EVENT_COUNT
    return max(1, int(token_usage.rpartition(",")[2]) // chunk_size)


def event_data(body: bytes, count: int) -> list[str]:
    """Return the data of `count` events: the number of lines of the body, then words derived from the body."""
    digest = hashlib.sha256(body).hexdigest()
    lines = len(body.splitlines())
    return [f"read {lines} lines", *(f"word-{digest[:4]}-{number}" for number in range(2, count + 1))]

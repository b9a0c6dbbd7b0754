"""The tier's log as lines that a test reads."""

import json
import logging
import os
from contextlib import contextmanager

from dewpin.cluster import logs


@contextmanager
def captured_log(node, role):
    """Configure logging at the default level; provide a function that returns the lines written since its last call."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = logs.configure("notice", node, role, writer)

    def read():
        try:
            return [json.loads(line) for line in os.read(reader, 1 << 16).splitlines()]
        except BlockingIOError:
            return []

    yield read
    logger = logging.getLogger(logs.LOGGER_NAME)
    logger.removeHandler(handler)
    logger.propagate = True
    logger.setLevel(logging.NOTSET)
    os.close(reader)
    os.close(writer)


def recorded_events(monkeypatch, module):
    """Replace `log_event` in a module; return a list of (event, fields) that grows with each of its calls."""
    recorded = []
    monkeypatch.setattr(module, "log_event", lambda event, **fields: recorded.append((event.value, fields)))
    return recorded

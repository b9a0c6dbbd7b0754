"""Threaded servers pause after a failed accept: without descriptors it would fail again at once."""

import errno
import socket
import threading
import time
from types import SimpleNamespace

from dewpin.cluster.bounded_http_server import BoundedHttpServer, BoundedRequestHandler
from dewpin.cluster.listening_server import ACCEPT_ERROR_BACKOFF_S
from dewpin.cluster.memory_budget import MemoryBudget

OBSERVED_S = 0.3


def test_accept_without_descriptors_does_not_spin():
    """The operator's and the readiness port are served by the same class."""
    server = BoundedHttpServer(("127.0.0.1", 0), BoundedRequestHandler, MemoryBudget.for_process(0.0))
    listening, attempts = server.socket, []

    def accept():
        attempts.append(1)
        raise OSError(errno.EMFILE, "Too many open files")

    server.socket = SimpleNamespace(accept=accept, fileno=listening.fileno, close=listening.close)
    serving = threading.Thread(target=server.serve_forever, args=(0.05,))
    with socket.create_connection(listening.getsockname()):
        serving.start()
        time.sleep(OBSERVED_S)
        server.shutdown()
    serving.join()
    server.server_close()
    assert 0 < len(attempts) <= OBSERVED_S / ACCEPT_ERROR_BACKOFF_S + 1

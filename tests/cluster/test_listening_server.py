"""Threaded servers pause after a failed accept: without descriptors it would fail again at once."""

import errno
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler
from types import SimpleNamespace

import pytest

from dewpin.cluster.listening_server import ACCEPT_ERROR_BACKOFF_S
from dewpin.controlplane import operator_http
from dewpin.dataplane.ingress import readiness

OBSERVED_S = 0.3


@pytest.mark.parametrize("server_class", [operator_http._HttpServer, readiness._HttpServer])
def test_accept_without_descriptors_does_not_spin(server_class):
    server = server_class(("127.0.0.1", 0), BaseHTTPRequestHandler)
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

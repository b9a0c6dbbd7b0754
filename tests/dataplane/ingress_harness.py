"""An ingress server on loopback, and a client that sends raw bytes."""

import json
import socket
import threading

from dataplane.peers import PATIENCE_S

from dewpin.cluster.configuration import parse_configuration
from dewpin.dataplane.http11.messages import Response
from dewpin.dataplane.ingress.server import IngressServer
from dewpin.dataplane.membership.cluster_state import ClusterState

LIMITS = {"max_header_bytes": 1000, "max_body_bytes": 5000, "header_timeout_ms": 10_000, "idle_timeout_ms": 10_000}


def cluster_state(**limits):
    body = {"generation": 1, "routes": [], "services": [], "limits": {**LIMITS, **limits}}
    return ClusterState(parse_configuration(json.dumps(body).encode()))


class ScriptedBody:
    """A streamed body whose parts are bytes to yield, functions to call or errors to raise."""

    def __init__(self, *parts):
        self._parts = parts
        self.closed = threading.Event()

    def __iter__(self):
        for part in self._parts:
            if isinstance(part, Exception):
                raise part
            if callable(part):
                part()
            else:
                yield part

    def close(self):
        self.closed.set()


class ServerHarness:
    """An ingress server that responds with a function of the request and records the requests."""

    def __init__(self, response=None, **limits):
        self.requests = []
        self._respond = response or (lambda request: Response(200, [("X-Thing", "a")], b"done"))
        self.ingress = IngressServer(cluster_state(**limits), self._handle, accept_poll_s=0.01)
        self.ingress.start(("127.0.0.1", 0))

    def _handle(self, request):
        self.requests.append(request)
        return self._respond(request)

    def connect(self):
        return RawClient(self.ingress.address)


class RawClient:
    def __init__(self, address):
        self.socket = socket.create_connection(address, PATIENCE_S)
        self._reader = self.socket.makefile("rb")

    def send(self, *lines, body=b""):
        self.socket.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)

    def read(self, method="GET"):
        """Return the next response: its status, its header fields with lower-case names and its body."""
        status = self._reader.readline()
        if not status:
            raise EOFError
        headers = {}
        while (line := self._reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().strip().partition(": ")
            headers[name.lower()] = value
        code = int(status.split()[1])
        if method == "HEAD" or code in (100, 204, 304):
            return code, headers, b""
        if "transfer-encoding" in headers:
            return code, headers, b"".join(self.chunks())
        return code, headers, self._reader.read(int(headers["content-length"]))

    def read_head(self):
        while self._reader.readline() not in (b"\r\n", b""):
            pass

    def chunks(self):
        while True:
            line = self._reader.readline()
            if not line:
                raise EOFError
            size = int(line, 16)
            data = self._reader.read(size + 2)
            if size == 0:
                return
            if len(data) < size + 2:
                raise EOFError
            yield data[:-2]

    def is_closed(self):
        """Return whether the server closes the connection without sending more bytes."""
        return self._reader.read(1) == b""

    def close(self):
        self._reader.close()
        self.socket.close()

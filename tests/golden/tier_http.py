"""Scripted HTTP exchanges with the serving tier, byte for byte, with varying parts replaced.

The program is imported only through `tier_api`.
"""

import json
import re
import socket
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from golden.tier_api import encodings, http_servers
from loopback_server import LoopbackServer

TIMEOUT_S = 10.0
_VARYING = (
    (re.compile(rb"(?m)^Date: [^\r]*"), b"Date: (varies)"),
    (re.compile(rb"(?m)^Server: [^\r]*"), b"Server: (varies)"),
    (re.compile(rb"127\.0\.0\.1:\d+"), b"127.0.0.1:(varies)"),
    (re.compile(rb"python-urllib3/[^\r]*"), b"python-urllib3/(varies)"),
)


def mask_varying(data: bytes) -> str:
    """Return bytes as text, with the parts that differ between runs replaced."""
    for pattern, replacement in _VARYING:
        data = pattern.sub(replacement, data)
    return data.decode("latin-1")


def request(line: str, *fields: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request, with Content-Length if it has a body."""
    length = [f"Content-Length: {len(body)}"] if body else []
    return "\r\n".join([line, "Host: tier.example", *fields, *length, "", ""]).encode("latin-1") + body


def exchange_once(address: tuple[str, int], data: bytes) -> str:
    """Send bytes and close the sending side at once; return all that is received."""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        response = b""
        while received := connection.recv(65536):
            response += received
    return mask_varying(response)


def exchange(address: tuple[str, int], *requests: bytes) -> str:
    """Send requests on one connection, each after the previous response is complete; return all that is received.

    The sending side is closed at the end only, as the tier treats a client that closes it as disconnected.
    """
    received_all = b""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        for data in requests:
            connection.sendall(data)
            response = b""
            while not _is_complete(response, data.startswith(b"HEAD")):
                received = connection.recv(65536)
                if not received:
                    return mask_varying(received_all + response)
                response += received
            received_all += response
        connection.shutdown(socket.SHUT_WR)
        while received := connection.recv(65536):
            received_all += received
    return mask_varying(received_all)


def _is_complete(response: bytes, is_head_request: bool) -> bool:
    head, separator, body = response.partition(b"\r\n\r\n")
    if not separator:
        return False
    if is_head_request or head.startswith(b"HTTP/1.1 204"):
        return True
    length = re.search(rb"\r\nContent-Length: (\d+)", head)
    if length:
        return len(body) >= int(length[1])
    return b"Transfer-Encoding" in head and body.endswith(b"0\r\n\r\n")


class ScriptedServer(LoopbackServer):
    """Sends the next response to each request, the last one also to all further requests, and records the requests.

    `{id}` in a response is replaced by the request's ID. None closes the connection.
    """

    def __init__(self, *responses: bytes | None, beside: "ScriptedServer | None" = None) -> None:
        """`beside`: another server, whose responses and recorded requests this one shares."""
        self._responses = list(responses) if beside is None else beside._responses
        self.requests: list[str] = [] if beside is None else beside.requests
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            buffer = b""
            while True:
                while b"\r\n\r\n" not in buffer:
                    received = connection.recv(65536)
                    if not received:
                        return
                    buffer += received
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
                while len(buffer) < (int(length[1]) if length else 0):
                    buffer += connection.recv(65536)
                body, buffer = (buffer[: int(length[1])], buffer[int(length[1]) :]) if length else (b"", buffer)
                self.requests.append(mask_varying(head + b"\r\n\r\n" + body))
                response = self._responses.pop(0) if len(self._responses) > 1 else self._responses[0]
                if response is None:
                    return
                request_id = re.search(rb"(?i)\r\nx-dewpin-request-id: ([^\r]*)", head)
                connection.sendall(response.replace(b"{id}", request_id[1] if request_id else b""))
                if response.endswith(b"(cut)"):
                    return


@contextmanager
def running(*servers: ScriptedServer) -> Iterator[list[str]]:
    """Yield the addresses of the servers; close them at the end."""
    try:
        yield [server.address for server in servers]
    finally:
        for server in servers:
            server.close()


# The operator

_MORE_CHANGES_THAN_IN_STATE = 130
"""Number of configuration changes that exceeds those in the register's state; older ones are looked up on disk."""


def _configuration_body(generation: int, **more: Any) -> bytes:
    route = {"hostname": "one.example", "path_prefix": "/", "backend": "engines", "timeout_ms": 1000, "name": "all"}
    configuration = {"generation": generation, "routes": [route], "services": [{"name": "engines"}], **more}
    return json.dumps(configuration).encode()


def _operator_calls() -> dict[str, bytes]:
    base = "X-Dewpin-Base-Version"
    put, patch = "POST /dewpin/Config.Put HTTP/1.1", "POST /dewpin/Config.Patch HTTP/1.1"
    small_patch = b'{"generation":8,"upsert":{"services":[{"name":"extra"}]},"delete":{"services":["none"]}}'
    chunked = _configuration_body(5)
    return {
        "get before any": request("GET /dewpin/Config.Get HTTP/1.1"),
        "patch before any": request(patch, f"{base}: 0", body=small_patch),
        "put": request(put, f"{base}: 0", body=_configuration_body(3)),
        "put again": request(put, f"{base}: 0", body=_configuration_body(3)),
        "put chunked": request(put, f"{base}: 3", "Transfer-Encoding: chunked")
        + b"%x\r\n%b\r\n0\r\n\r\n" % (len(chunked), chunked),
        "put on another version": request(put, f"{base}: 3", body=_configuration_body(9)),
        "put not above": request(put, f"{base}: 5", body=_configuration_body(4)),
        "put without base": request(put, body=_configuration_body(9)),
        "put with bad base": request(put, f"{base}: five", body=_configuration_body(9)),
        "put of no JSON": request(put, f"{base}: 5", body=b"{"),
        "put of no UTF-8": request(put, f"{base}: 5", body=b"\xff\xfe"),
        "put of bad fields": request(
            put, f"{base}: 5", body=b'{"generation":"x","routes":[{"hostname":1}],"services":{}}'
        ),
        "put of unknown service": request(put, f"{base}: 5", body=_configuration_body(9, services=[])),
        "patch": request(patch, f"{base}: 5", body=small_patch),
        "patch again": request(patch, f"{base}: 5", body=small_patch),
        "patch on another version": request(
            patch, f"{base}: 5", body=b'{"generation":9,"delete":{"services":["extra"]}}'
        ),
        "patch that makes it invalid": request(
            patch, f"{base}: 8", body=b'{"generation":9,"delete":{"services":["engines"]}}'
        ),
        "patch of bad fields": request(patch, f"{base}: 8", body=b'{"upsert":{"services":[{}]}}'),
        "get": request("GET /dewpin/Config.Get?x=1 HTTP/1.1"),
        "get by POST": request("POST /dewpin/Config.Get HTTP/1.1"),
        "retire unknown": request("POST /dewpin/Retire.Start/store-9 HTTP/1.1"),
        "retirement of unknown": request("GET /dewpin/Retire.Get/store-4 HTTP/1.1"),
        "retire": request("POST /dewpin/Retire.Start/store-4 HTTP/1.1"),
        "retire again": request("POST /dewpin/Retire.Start/store-4 HTTP/1.1"),
        "retirement": request("GET /dewpin/Retire.Get/store-4 HTTP/1.1"),
        "retire one too many": request("POST /dewpin/Retire.Start/store-3 HTTP/1.1"),
        "put by GET": request("GET /dewpin/Config.Put HTTP/1.1"),
        "unknown call": request("GET /dewpin/Unknown HTTP/1.1"),
        "bad length": request(put, "Content-Length: ten"),
        "too large": request(put, "Content-Length: 99999999"),
        "bad chunk": request(put, "Transfer-Encoding: chunked") + b"zz\r\n",
        "cut short": request(put, "Content-Length: 10") + b"{}",
    }


def operator_transcript() -> dict[str, list[str]]:
    """Return each operator call with its response; the calls are made in order, to one control server."""
    with tempfile.TemporaryDirectory() as folder:
        operator = http_servers.Operator(Path(folder))
        try:
            transcript = {
                name: [mask_varying(sent), exchange_once(operator.address, sent)]
                for name, sent in _operator_calls().items()
            }
            finished = request("GET /dewpin/Retire.Get/store-4 HTTP/1.1")
            operator.finish_retirement("store-4")
            transcript["retirement done"] = [mask_varying(finished), exchange_once(operator.address, finished)]
            repeated = request("POST /dewpin/Retire.Start/store-4 HTTP/1.1")
            transcript["retire once done"] = [mask_varying(repeated), exchange_once(operator.address, repeated)]
            old_changes = {
                "put of an old order that was taken": (3, 0),
                "put of an old order that was not taken": (4, 3),
            }
            operator.accept_changes(_MORE_CHANGES_THAN_IN_STATE)
            for name, (generation, base) in old_changes.items():
                fields = f"X-Dewpin-Base-Version: {base}"
                put = request("POST /dewpin/Config.Put HTTP/1.1", fields, body=_configuration_body(generation))
                transcript[name] = [mask_varying(put), exchange_once(operator.address, put)]
            operator.lose_majority()
            get = request("GET /dewpin/Config.Get HTTP/1.1")
            transcript["get without majority"] = [mask_varying(get), exchange_once(operator.address, get)]
            return transcript
        finally:
            operator.close()


# Readiness


def readiness_transcript() -> dict[str, list[str]]:
    """Return the platform's readiness requests with their responses."""
    transcript = {}
    for name, path, is_ready in (
        ("ready", "/dewpin/ready", True),
        ("not ready", "/dewpin/ready?x=1", False),
        ("another path", "/", True),
    ):
        with http_servers.ready_server(is_ready) as address:
            sent = request(f"GET {path} HTTP/1.1")
            transcript[name] = [mask_varying(sent), exchange(address, sent)]
    return transcript


# The platform's list


def _page(*instances: Any, **more: Any) -> bytes:
    body = json.dumps({"instances": instances, **more}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def _status(line: str) -> bytes:
    return f"HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n".encode()


def platform_transcript() -> dict[str, Any]:
    """Return the requests for the platform's list, and the records that result from its pages."""
    full_receiver = {
        "id": "i-1",
        "backend": "engines",
        "address": "10.1.0.9:8081",
        "zone": "east",
        "capacity": 16,
        "state": "draining",
        "cold_left_ms": 812.5,
        "generation": "v2",
    }
    minimal_receiver = {"id": "i-2", "backend": "plain", "address": "10.1.0.10:8081"}
    pages = {
        "one page": [_page(full_receiver, minimal_receiver)],
        "two pages": [_page(full_receiver, next_token="a b/\u00e4?"), _page(minimal_receiver, next_token="")],
        "nobody": [_page()],
        "over its rate": [_status("429 Too Many Requests")],
        "redirect": [b"HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"],
        "no JSON": [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"],
        "no object": [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"],
        "entry without id": [_page({"backend": "plain"})],
    }
    transcript = {}
    for name, responses in pages.items():
        server = ScriptedServer(*responses)
        with running(server) as (address,):
            records = encodings.read_platform(address)
        transcript[name] = {"records": records, "requests": server.requests}
    return transcript


# Clients and receivers

_SIGNED = b"X-Dewpin-Request-Id: {id}\r\nX-Dewpin-Response-Signature: signed\r\n"


def _response(body: bytes = b"done", status: bytes = b"200 OK", fields: bytes = b"", head: bytes = _SIGNED) -> bytes:
    return b"HTTP/1.1 %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (status, head, fields, len(body), body)


def _chunked(*parts: bytes, end: bytes = b"0\r\n\r\n", fields: bytes = b"") -> bytes:
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\n%b%bTransfer-Encoding: chunked\r\n\r\n%b%b" % (_SIGNED, fields, chunks, end)


def _event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


_EVENTS = b"Content-Type: text/event-stream\r\n"
_REJECTION = _response(b"", b"503 Service Unavailable", b"X-Dewpin-Not-Executed: 1\r\nRetry-After: 1\r\n", head=b"")
_ID = "X-Dewpin-Request-Id: r-1"


def _routes(**fields: Any) -> dict[str, Any]:
    route = {
        "name": "work",
        "hostname": "tier.example",
        "path_prefix": "/",
        "kind": "idempotent",
        "timeout_ms": 5000,
        "target_ms": 2000,
        "backend": "engines",
        "retries": 2,
        **fields,
    }
    service = {"name": "engines", "max_conns": 64, "engine": {"capacity": 4, "chunk_size": 10}}
    limits = {"max_header_bytes": 1000, "max_body_bytes": 100, "header_timeout_ms": 9000, "idle_timeout_ms": 9000}
    return {"generation": 1, "routes": [route], "services": [service], "limits": limits}


_NON_IDEMPOTENT = {"kind": "non_idempotent", "retries": 0}
_STREAM = {"kind": "stream", "resumable": True}
_POST = "POST /work HTTP/1.1"


def _client_cases() -> dict[str, tuple[dict[str, Any] | None, list[bytes | None], list[bytes], str]]:
    """Return by name: configuration, responses of the receivers, requests of the client, and fault of the stores.

    There are two receivers if there are several responses.
    """
    budget_fields = ("X-Dewpin-Token-Usage: 10, 20", "Program: p-1", "Budget: 100")
    hop_by_hop_fields = (
        "Connection: keep-alive, X-Hop",
        "X-Hop: 1",
        "Keep-Alive: timeout=1",
        "TE: trailers",
        "Upgrade: h2c",
    )
    forwarded_fields = ("X-Many: a", "X-Many: b", "Accept-Encoding: gzip", "User-Agent: client", "Expect-Version: v1")
    tier_fields = ("X-Dewpin-Request-Deadline: 1500", "X-Dewpin-Target-Instance: other", "Priority: 2")
    fields = b"X-Thing: a\r\nX-Thing: b\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Dewpin-Server-Load: 1, 2, 3\r\n"
    return {
        "get": (_routes(), [_response()], [request("GET /a%2f..//b;c?q=%7E HTTP/1.1", _ID)], ""),
        "post with all headers": (
            _routes(priority=3),
            [_response(b"done", b"201 Created", fields)],
            [
                request(
                    "PATCH /work HTTP/1.1",
                    _ID,
                    *hop_by_hop_fields,
                    *forwarded_fields,
                    *tier_fields,
                    "X-Dewpin-Session-Affinity: s-1",
                    body=b"\0in",
                )
            ],
            "",
        ),
        "post without priority": (_routes(priority=3), [_response()], [request(_POST, _ID, body=b"in")], ""),
        "chunked request": (
            _routes(),
            [_response()],
            [request(_POST, _ID, "Transfer-Encoding: chunked") + b"2\r\nin\r\n0\r\n\r\n"],
            "",
        ),
        "empty body by length": (_routes(), [_response(b"")], [request(_POST, _ID, "Content-Length: 0")], ""),
        "head": (_routes(), [_response(b"")], [request("HEAD /work HTTP/1.1", _ID)], ""),
        "no content": (
            _routes(),
            [b"HTTP/1.1 204 No Content\r\n" + _SIGNED + b"\r\n"],
            [request("DELETE /work HTTP/1.1", _ID)],
            "",
        ),
        "chunked answer": (_routes(), [_chunked(b"one", b"two")], [request(_POST, _ID)], ""),
        "two requests": (
            _routes(),
            [_response(b"one"), _response(b"two")],
            [request(_POST, _ID), request(_POST, "X-Dewpin-Request-Id: r-2")],
            "",
        ),
        "HTTP/1.0": (_routes(), [_response()], [request("GET /work HTTP/1.0", _ID)], ""),
        "client closes": (_routes(), [_response()], [request(_POST, _ID, "Connection: close")], ""),
        "server error": (
            _routes(**_NON_IDEMPOTENT),
            [_response(b"why", b"500 Internal Server Error")],
            [request(_POST, _ID)],
            "",
        ),
        "unsigned answer": (
            _routes(**_NON_IDEMPOTENT),
            [_response(head=b"X-Dewpin-Request-Id: {id}\r\n")],
            [request(_POST, _ID)],
            "",
        ),
        "answer to another": (
            _routes(**_NON_IDEMPOTENT),
            [_response(head=b"X-Dewpin-Request-Id: x\r\n")],
            [request(_POST, _ID)],
            "",
        ),
        "receiver closes": (_routes(**_NON_IDEMPOTENT), [None], [request(_POST, _ID)], ""),
        "receiver refuses, then not": (_routes(), [_REJECTION, _response()], [request(_POST, _ID, body=b"in")], ""),
        "stream": (
            _routes(**_STREAM),
            [_chunked(_event(1), _event(2), fields=_EVENTS)],
            [request(_POST, _ID, "Accept: text/event-stream", body=b"in")],
            "",
        ),
        "stream to HTTP/1.0": (
            _routes(**_STREAM),
            [_chunked(_event(1), _event(2), fields=_EVENTS)],
            [request("POST /work HTTP/1.0", _ID, body=b"in")],
            "",
        ),
        "stream that is resumed": (
            _routes(**_STREAM),
            [_chunked(_event(1), end=b"(cut)", fields=_EVENTS), _chunked(_event(2), fields=_EVENTS)],
            [request(_POST, _ID, body=b"in")],
            "",
        ),
        "no configuration": (None, [_response()], [request(_POST, _ID)], ""),
        "no id": (_routes(), [_response()], [request(_POST)], ""),
        "no route": (_routes(hostname="other.example"), [_response()], [request(_POST, _ID)], ""),
        "budget spent": (_routes(**_STREAM), [_response()], [request(_POST, _ID, *budget_fields)], "budget"),
        "turn unknown": (
            _routes(**_STREAM, retained=True),
            [_response()],
            [request(_POST, _ID, "Previous: t-0")],
            "turn",
        ),
        "store unavailable": (_routes(**_STREAM), [_response()], [request(_POST, _ID, *budget_fields)], "store"),
        "bad budget": (_routes(**_STREAM), [_response()], [request(_POST, _ID, "Budget: x")], "store"),
        "bad usage": (_routes(**_STREAM), [_response()], [request(_POST, _ID, "Budget: 5")], "store"),
        "malformed request": (_routes(), [_response()], [b"GET / HTTP/1.1\r\nBad Field: 1\r\n\r\n"], ""),
        "body too large": (_routes(), [_response()], [request(_POST, _ID, "Content-Length: 101")], ""),
        "headers too large": (_routes(), [_response()], [request(_POST, _ID, "X-Long: " + "x" * 1100)], ""),
        "length and chunks": (
            _routes(),
            [_response()],
            [request(_POST, _ID, "Transfer-Encoding: chunked", "Content-Length: 2")],
            "",
        ),
    }


def client_transcript(name: str) -> dict[str, Any]:
    """Return what the client and the receiver send and receive in the case of that name."""
    configuration, responses, requests, store_fault = _client_cases()[name]
    server = ScriptedServer(*responses)
    servers = [server, ScriptedServer(beside=server)] if len(responses) > 1 else [server]
    with ExitStack() as stack:
        listed = stack.enter_context(running(*servers))
        address = stack.enter_context(http_servers.sender(configuration, listed, store_fault))
        response = exchange(address, *requests)
    return {"client": [mask_varying(data) for data in requests], "receiver": server.requests, "answer": response}


def client_cases() -> list[str]:
    """Return the names of the cases."""
    return list(_client_cases())

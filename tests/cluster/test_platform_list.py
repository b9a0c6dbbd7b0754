"""The platform's list is read within limits, whatever the platform sends."""

import json
import socket

import pytest
from loopback_server import LoopbackServer

from dewpin.cluster import platform_list
from dewpin.cluster.bounded_http_client import DownloadLimits
from dewpin.cluster.platform_list import PlatformList, PlatformUnavailableError

ENTRY = {
    "id": "i-1",
    "backend": "lookup",
    "address": "127.0.0.1:80",
    "zone": "here",
    "generation": "v1",
    "capacity": 4,
    "state": "ready",
    "cold_left_ms": 0.0,
}
READ_BYTES = 65_536


class ScriptedPlatform(LoopbackServer):
    """Answers each request with a first part and then a block without end; an empty block ends the response."""

    def __init__(self, first, block=b""):
        self._first = first
        self._block = block
        super().__init__()

    def _serve(self, connection):
        with connection:
            while connection.recv(READ_BYTES):
                try:
                    connection.sendall(self._first)
                    while self._block:
                        connection.sendall(self._block)
                except OSError:
                    return


@pytest.fixture
def platform():
    opened = []

    def start(*parts):
        opened.append(ScriptedPlatform(*parts))
        return opened[-1]

    yield start
    for server in opened:
        server.close()


def response(body, *fields):
    lines = ("HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *fields)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


HEAD = b"HTTP/1.1 %d OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
ENDLESS = {
    "header_line": (HEAD + b"X-Padding: ", b"a" * READ_BYTES),
    "header_lines": (HEAD, b"X-Padding: a\r\n" * 4_000),
    "interim_responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "chunk_size": (CHUNKED + b"\r\n", b"a" * READ_BYTES),
    "chunk": (CHUNKED + b"\r\n7fffffff\r\n", b"a" * READ_BYTES),
    "one_byte_chunks": (CHUNKED + b"\r\n", b"1\r\na\r\n" * 10_000),
    "trailers": (CHUNKED + b"\r\n0\r\n", b"a: b\r\n" * 10_000),
    "declared_length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"a" * READ_BYTES),
    "no_length": (HEAD + b"\r\n", b"a" * READ_BYTES),
    "pages": (response(json.dumps({"instances": [ENTRY], "next_token": "p"}).encode()), b""),
}


def first_part(form, status):
    first, block = ENDLESS[form]
    return (first % status if b"%d" in first else first), block


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("form", ENDLESS)
def test_list_without_end_is_not_read(platform, form, status, monkeypatch):
    monkeypatch.setattr(platform_list, "MAX_PAGES", 50)
    with pytest.raises(PlatformUnavailableError):
        PlatformList(platform(*first_part(form, status)).address).read()


def test_list_that_arrives_slowly_ends_with_the_time_of_the_read(platform, monkeypatch):
    """Bytes that arrive one after the other must not extend the read."""
    monkeypatch.setattr(platform_list, "LIST_LIMITS", DownloadLimits(0.3, 10**12, 10**12))
    server = platform(HEAD % 200 + b"Content-Length: 1000000000000\r\n\r\n", b"a")
    with pytest.raises(PlatformUnavailableError):
        PlatformList(server.address).read()


def test_page_of_very_many_values_is_rejected(platform):
    body = b'{"instances":[' + b"[]," * 1_000_000 + b"[]]}"
    with pytest.raises(PlatformUnavailableError, match="too many values"):
        PlatformList(platform(response(body)).address).read()


def test_compressed_page_is_not_decoded(platform):
    with pytest.raises(PlatformUnavailableError):
        PlatformList(platform(response(b"\x1f\x8b", "Content-Encoding: gzip")).address).read()


def test_deeply_nested_page_is_rejected(platform):
    body = b"[" * 100_000
    with pytest.raises(PlatformUnavailableError):
        PlatformList(platform(response(body)).address).read()


def test_proper_list_is_read_twice_over_one_connection(platform):
    server = platform(response(json.dumps({"instances": [ENTRY], "next_token": None}).encode()))
    reader = PlatformList(server.address)
    for _ in range(2):
        assert [receiver.id for receiver in reader.read()] == ["i-1"]
    assert server.connections == 1


def test_unreachable_platform_is_reported():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    with pytest.raises(PlatformUnavailableError):
        PlatformList(f"127.0.0.1:{port}").read()

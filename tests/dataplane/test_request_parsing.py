"""Parsing of request heads: accepted heads, and heads that are rejected as invalid or ambiguous."""

import pytest

from dewpin.dataplane.http11.request_parsing import MalformedMessageError, parse_chunk_size, parse_head


def parse(*lines):
    return parse_head("\r\n".join(lines).encode("latin-1"))


def test_head_is_parsed_unchanged():
    head = parse("PATCH /a%2F/b?c=%7e&d HTTP/1.1", "Host: h", "X-Thing:  a \t", "x-thing: b")
    assert (head.method, head.target) == ("PATCH", "/a%2F/b?c=%7e&d")
    assert list(head.headers.fields) == [("Host", "h"), ("X-Thing", "a"), ("x-thing", "b")]
    assert head.headers.get_all("x-thing") == ["a", "b"]
    assert head.content_length == 0
    assert not head.wants_close


@pytest.mark.parametrize(
    ("lines", "length"),
    [
        (["Content-Length: 12"], 12),
        (["Content-Length: 12", "Content-Length: 12"], 12),
        (["Transfer-Encoding: chunked"], None),
        (["Transfer-Encoding: Chunked"], None),
        ([], 0),
    ],
)
def test_body_framing_is_parsed(lines, length):
    assert parse("POST / HTTP/1.1", "Host: h", *lines).content_length == length


@pytest.mark.parametrize(
    "lines",
    [
        ["POST / HTTP/1.1", "Host: h", "Content-Length: 3", "Transfer-Encoding: chunked"],
        ["POST / HTTP/1.1", "Host: h", "Content-Length: 3", "Content-Length: 4"],
        ["POST / HTTP/1.1", "Host: h", "Content-Length: +3"],
        ["POST / HTTP/1.1", "Host: h", "Content-Length: 3, 3"],
        ["POST / HTTP/1.1", "Host: h", "Content-Length: "],
        ["POST / HTTP/1.1", "Host: h", "Content-Length: -1"],
        ["POST / HTTP/1.1", "Host: h", "Transfer-Encoding: gzip, chunked"],
        ["POST / HTTP/1.1", "Host: h", "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"],
        ["POST / HTTP/1.1", "Host: h", "Transfer-Encoding : chunked"],
        ["POST / HTTP/1.1", "Host: h", "X-A: b", " folded"],
        ["POST / HTTP/1.1", "Host: h", "X-A: b\nX-B: c"],
        ["POST / HTTP/1.1", "Host: h", "X-A: b\rX-B: c"],
        ["POST / HTTP/1.1", "Host: h", "X-A: \x00"],
        ["POST / HTTP/1.1", "Host: h", "no colon"],
        ["POST / HTTP/1.1", "Host: h", ": nameless"],
        ["POST / HTTP/1.1", "Host: h", "Host: i"],
        ["POST / HTTP/1.1"],
        ["POST  / HTTP/1.1", "Host: h"],
        ["POST / HTTP/2.0", "Host: h"],
        ["POST /", "Host: h"],
        ["PO ST / HTTP/1.1", "Host: h"],
        ["P\x00ST / HTTP/1.1", "Host: h"],
        ["POST work HTTP/1.1", "Host: h"],
        ["POST /\x7f HTTP/1.1", "Host: h"],
        ["POST /\xe9 HTTP/1.1", "Host: h"],
        [""],
    ],
)
def test_ambiguous_head_is_rejected(lines):
    with pytest.raises(MalformedMessageError):
        parse(*lines)


@pytest.mark.parametrize(
    ("version", "connection", "closes"),
    [
        ("HTTP/1.1", "", False),
        ("HTTP/1.1", "close", True),
        ("HTTP/1.1", "foo, Close", True),
        ("HTTP/1.0", "", True),
        ("HTTP/1.0", "keep-alive", True),
    ],
)
def test_client_requests_close_of_connection(version, connection, closes):
    lines = [f"Connection: {connection}"] if connection else []
    assert parse(f"GET / {version}", "Host: h", *lines).wants_close is closes


def test_connection_headers_are_not_end_to_end():
    head = parse(
        "GET / HTTP/1.1",
        "Host: h",
        "Connection: keep-alive, X-Hop",
        "Keep-Alive: timeout=5",
        "TE: trailers",
        "Trailer: X-A",
        "Upgrade: h2c",
        "Proxy-Connection: close",
        "X-Hop: 1",
        "X-Stays: 2",
        "Priority: 3",
    )
    assert head.headers.end_to_end() == [("Host", "h"), ("X-Stays", "2"), ("Priority", "3")]


@pytest.mark.parametrize(("line", "size"), [(b"a", 10), (b"0", 0), (b"FF;name=value", 255), (b"1 ;x", 1)])
def test_chunk_size_is_parsed(line, size):
    assert parse_chunk_size(line) == size


@pytest.mark.parametrize("line", [b"", b"-1", b"+1", b"0x1", b"g", b" 1", b"1_0", b"f" * 16])
def test_invalid_chunk_size_is_rejected(line):
    with pytest.raises(MalformedMessageError):
        parse_chunk_size(line)

"""The HTTP parser, fed input in arbitrary fragments, and the responses that the server formats."""

import random

import pytest

from dewpin.net.errors import MalformedMessageError
from dewpin.net.http_messages import format_response
from dewpin.net.http_parser import MAX_INTERIM_RESPONSES, RequestParser, ResponseParser


def random_requests(rng):
    """Return the bytes of one to four requests, and their bodies."""
    raw, bodies = b"", []
    for _ in range(rng.randrange(1, 5)):
        body = rng.randbytes(rng.choice((0, 1, 10, 5000)))
        bodies.append(body)
        if rng.random() < 0.5:
            raw += b"POST /api HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            continue
        raw += b"\r\nPOST /api HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"
        while body:
            fragment_size = rng.randint(1, len(body))
            raw, body = raw + b"%X;note=1\r\n" % fragment_size + body[:fragment_size] + b"\r\n", body[fragment_size:]
        raw += b"0\r\n" + b"Trailer: x\r\n" * rng.randrange(2) + b"\r\n"
    return raw, bodies


@pytest.mark.parametrize("seed", range(30))
def test_requests_in_fragments_of_any_size_are_parsed_equally(seed):
    rng = random.Random(seed)
    raw, bodies = random_requests(rng)
    parser, parsed_bodies = RequestParser(), []
    while raw:
        fragment_size = rng.choice((1, 2, 7, 1000))
        parser.feed(raw[:fragment_size])
        raw = raw[fragment_size:]
        while request := parser.next_message():
            parsed_bodies.append(request.body)
    assert parsed_bodies == bodies and not parser.has_unparsed_bytes


@pytest.mark.parametrize("seed", range(30))
def test_corrupted_requests_are_rejected_or_buffered_within_limits(seed):
    rng = random.Random(seed)
    raw = bytearray(random_requests(rng)[0])
    for _ in range(rng.randrange(1, 20)):
        raw[rng.randrange(len(raw))] = rng.choice(b"\r\n\x00: 0aZ")
    parser_type = ResponseParser if rng.random() < 0.3 else RequestParser
    parser = parser_type(max_body_bytes=8000)
    try:
        for offset in range(0, len(raw), 100):
            parser.feed(raw[offset : offset + 100])
            while parser.next_message():
                pass
            assert len(parser._buffer) < 8000 + 16384 + 100
    except MalformedMessageError as error:
        assert 400 <= error.status < 600


def test_header_section_of_a_response_determines_the_end_of_its_body():
    parser = ResponseParser()
    parser.feed(
        b"HTTP/1.1 100 Continue\r\n\r\n" + format_response(200, body=b"abc") + b"HTTP/1.1 204 No Content\r\n\r\n"
    )
    assert parser.next_message().body == b"abc" and parser.next_message().status == 204
    parser.feed(b"HTTP/1.1 200\r\n\r\nto the end")
    assert parser.next_message() is None
    response = parser.end_of_input()
    assert response.body == b"to the end" and response.closes_connection


def test_body_in_many_small_chunks_is_kept_in_one_buffer():
    parser = RequestParser()
    body = bytes(range(256)) * 64
    parser.feed(b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    for start in range(0, len(body), 1024):
        parser.feed(b"".join(b"2\r\n%b\r\n" % body[at : at + 2] for at in range(start, start + 1024, 2)))
        assert parser.next_message() is None
        assert parser.buffered_bytes == start + 1024
    parser.feed(b"0\r\n\r\n")
    assert parser.next_message().body == body


def test_small_chunks_over_the_limit_are_rejected():
    parser = RequestParser(max_body_bytes=1000)
    parser.feed(b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 1001)
    with pytest.raises(MalformedMessageError) as caught:
        parser.next_message()
    assert caught.value.status == 413


def test_empty_lines_before_a_request_are_skipped_up_to_a_limit():
    parser = RequestParser()
    parser.feed(b"\r\n" * 8000 + b"POST /api HTTP/1.1\r\n\r\n")
    assert parser.next_message().target == b"/api"
    parser.feed(b"\r\n" * 8000)
    assert parser.next_message() is None
    parser.feed(b"\r\n" * 8000)
    with pytest.raises(MalformedMessageError) as caught:
        parser.next_message()
    assert caught.value.status == 400


def test_few_interim_responses_are_skipped():
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 103 Early Hints\r\n\r\n" * MAX_INTERIM_RESPONSES)
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    response = parser.next_message()
    assert response is not None and response.status == 200


def test_interim_responses_without_end_are_malformed():
    """They must neither exhaust the stack nor be skipped for as long as the receiver sends them."""
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 5_000)
    with pytest.raises(MalformedMessageError):
        parser.next_message()

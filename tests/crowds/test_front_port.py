"""Crowds at the port of a sender for clients."""

import itertools
import random

import pytest
from crowds import behaviours
from crowds.behaviours import CRLF, PIECE_BYTES, chunked_head, length_head, request_head
from crowds.small_tier import MAX_BODY_BYTES, MAX_DESCRIPTORS, play_crowd

pytestmark = pytest.mark.crowd

CLIENTS = 100
SEED = 88
BODY = random.Random(SEED).randbytes(MAX_BODY_BYTES)
REQUESTS_SENT_AHEAD = 200
EXTENSION_BYTES = 4_000
HEAD_BYTES = 16_000  # of the 16,384 allowed


def small_sizes():
    """Return chunk sizes of a few bytes, each different from the one before."""
    return itertools.cycle((1, 3, 2, 5, 4, 7, 6, 9, 8))


LARGE_REQUESTS = {
    "whole": lambda: behaviours.whole_bodies(BODY),
    "pieces": lambda: behaviours.bodies_in_pieces(BODY),
    "one_byte_short": lambda: behaviours.one_byte_short(BODY),
    "byte_by_byte": lambda: behaviours.byte_by_byte(BODY),
    "chunks_short": lambda: behaviours.chunks_without_end(BODY, itertools.repeat(PIECE_BYTES)),
    "one_byte_chunks": lambda: behaviours.chunks_without_end(BODY, itertools.repeat(1)),
    "small_chunks": lambda: behaviours.chunks_without_end(BODY, small_sizes()),
    "chunks_past_the_limit": behaviours.chunks_past_the_limit,
    "announced_past_the_limit": lambda: behaviours.announced_past_the_limit(10 * MAX_BODY_BYTES),
    "empty_lines": lambda: behaviours.endless(b"", CRLF * (PIECE_BYTES // 2)),
    "trailers": lambda: behaviours.endless(chunked_head() + b"0\r\n", b"a: b\r\n" * (PIECE_BYTES // 6)),
    "chunk_extensions": lambda: behaviours.endless(chunked_head(), b"1;%b\r\nx\r\n" % (b"a" * EXTENSION_BYTES)),
    "long_chunk_size": lambda: behaviours.endless(chunked_head(), b"0" * PIECE_BYTES),
    "sent_ahead": lambda: behaviours.endless(b"", length_head(0) * REQUESTS_SENT_AHEAD),
    "unread_answers": lambda: behaviours.unread_answers(MAX_BODY_BYTES),
    "turns": lambda: behaviours.turns(BODY),
}


@pytest.mark.parametrize("name", LARGE_REQUESTS)
def test_crowd_of_large_requests(small_tier, name):
    play_crowd(small_tier, small_tier.sender, small_tier.sender.client_address, CLIENTS, LARGE_REQUESTS[name]())


OCCUPIED_CONNECTIONS = {
    "silent": b"",
    "incomplete_head": request_head("Padding: " + "a" * HEAD_BYTES)[:-1],
    "incomplete_small_body": length_head(10),
}


@pytest.mark.parametrize("name", OCCUPIED_CONNECTIONS)
def test_crowd_of_more_connections_than_descriptors(small_tier, name):
    behaviour = behaviours.incomplete(OCCUPIED_CONNECTIONS[name])
    play_crowd(small_tier, small_tier.sender, small_tier.sender.client_address, 2 * MAX_DESCRIPTORS, behaviour)


SINGLE_REQUESTS = {
    "whole": lambda: length_head(MAX_BODY_BYTES) + BODY,
    "chunks": lambda: _chunked_request(itertools.repeat(PIECE_BYTES)),
    "one_byte_chunks": lambda: _chunked_request(itertools.repeat(1)),
    "small_chunks": lambda: _chunked_request(small_sizes()),
}


def _chunked_request(sizes):
    return chunked_head() + behaviours.chunked(BODY, sizes) + behaviours.LAST_CHUNK


@pytest.mark.parametrize("name", SINGLE_REQUESTS)
def test_single_request_inside_the_limits_is_served(small_tier, name):
    assert behaviours.exchange(small_tier.sender.client_address, SINGLE_REQUESTS[name]()).startswith(b"HTTP/1.1 200 ")

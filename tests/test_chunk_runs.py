"""Runs of chunks are decoded as if each chunk were decoded by itself."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewpin.chunk_runs import ChunkRun, decode_run


def encode(chunks):
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)


@given(st.lists(st.binary(min_size=1, max_size=20).filter(lambda chunk: b"\r\n" not in chunk)), st.binary(max_size=9))
def test_complete_chunks_are_decoded(chunks, rest):
    encoded = encode(chunks)
    run = decode_run(encoded + b"0\r\n" + rest)
    assert run == ChunkRun(b"".join(chunks), len(encoded))


@given(st.lists(st.sampled_from([b"a", b"\r\n", b"\r", b"\n", b"b\r\nc", b"1\r\n"])), st.integers(0, 30))
def test_decoded_chunks_are_always_a_prefix(chunks, cut_bytes):
    """Also if chunks contain line ends, and if the bytes end anywhere."""
    encoded = encode(chunks)
    run = decode_run(encoded[: max(0, len(encoded) - cut_bytes)])
    prefixes = {(b"".join(chunks[:count]), len(encode(chunks[:count]))) for count in range(len(chunks) + 1)}
    assert (run.data, run.consumed_bytes) in prefixes


@pytest.mark.parametrize(
    "stopping",
    [b"0\r\n\r\n", b"00\r\n\r\n", b"1;x=y\r\na\r\n", b"+1\r\na\r\n", b" 1\r\na\r\n", b"1_0\r\n" + b"a" * 16 + b"\r\n"],
)
def test_run_ends_before_what_it_cannot_decode(stopping):
    assert decode_run(b"1\r\na\r\n" + stopping + b"1\r\nb\r\n") == ChunkRun(b"a", 6)


@pytest.mark.parametrize("buffered", [b"", b"1", b"1\r\n", b"1\r\na", b"2\r\na\r\n", b"\r\n\r\n"])
def test_nothing_is_decoded_from_an_incomplete_or_malformed_chunk(buffered):
    assert decode_run(buffered) == ChunkRun(b"", 0)

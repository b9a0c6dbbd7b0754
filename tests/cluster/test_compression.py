"""Compressed connections: lossless decoding however the stream is split, with bounded memory."""

import random
import zlib

import pytest

from dewpin.cluster import compression
from dewpin.cluster.compression import CompressedOutput, IncomingBytes
from dewpin.cluster.netstring import Decoder, FrameError, encode

MESSAGE = {"type": "ledger.accept", "to": "f" * 32, "program": "3fa81c", "ballot": [1764678901000, "a1b2c3d4e5f60718"]}


def decode_all(incoming, data):
    return b"".join(incoming.decode(data))


def frames(count):
    return [encode({**MESSAGE, "ballot": [1764678901000 + number, "a1b2c3d4e5f60718"]}) for number in range(count)]


def test_each_frame_is_decodable_as_soon_as_its_bytes_are_received():
    output, incoming = CompressedOutput(), IncomingBytes()
    for frame in frames(50):
        assert decode_all(incoming, output.encode(frame)) == frame
    assert incoming.is_compressed


def test_frames_are_decoded_however_the_stream_is_split():
    rng = random.Random(5)
    sent = b"".join(frames(40))
    output = CompressedOutput()
    stream = b"".join(output.encode(frame) for frame in frames(40))
    for _ in range(20):
        incoming, decoded, position = IncomingBytes(), b"", 0
        while position < len(stream):
            size = rng.randint(1, 70)
            decoded += decode_all(incoming, stream[position : position + size])
            position += size
        assert decoded == sent


def test_uncompressed_stream_is_unchanged():
    incoming = IncomingBytes()
    for frame in frames(3):
        assert decode_all(incoming, frame) == frame
    assert incoming.is_compressed is False


def test_repeated_messages_compress_to_a_third_at_most():
    output = CompressedOutput()
    sizes = [(len(frame), len(output.encode(frame))) for frame in frames(50)][1:]
    assert 3 * sum(compressed for _, compressed in sizes) < sum(plain for plain, _ in sizes)


def test_first_byte_of_compressed_stream_is_no_digit():
    assert not CompressedOutput().encode(b"1:x,")[:1].isdigit()


def test_frame_longer_than_a_chunk_is_decoded(monkeypatch):
    monkeypatch.setattr(compression, "CHUNK_BYTES", 64)
    rng = random.Random(3)
    for length in (1, 63, 64, 65, 128, 1000, 5000):
        frame = bytes(rng.choices(b"ab", k=length))
        output, incoming = CompressedOutput(), IncomingBytes()
        chunks = list(incoming.decode(output.encode(frame)))
        assert b"".join(chunks) == frame and max(map(len, chunks)) <= 64


def test_expanding_stream_is_rejected_after_a_bounded_part():
    decompression_bomb = CompressedOutput().encode(b"9" * 64 * 1024 * 1024)
    decoder, decoded_bytes = Decoder(), 0
    with pytest.raises(FrameError):
        for chunk in IncomingBytes().decode(decompression_bomb):
            decoded_bytes += len(chunk)
            decoder.feed(chunk)
    assert decoded_bytes <= compression.CHUNK_BYTES


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b"X\x00\xff\xff", b"\x00\x00\x00\x00"])
def test_bytes_that_are_no_stream_are_rejected(data):
    with pytest.raises(FrameError):
        decode_all(IncomingBytes(), data)


def test_finished_stream_is_rejected():
    compressor = zlib.compressobj(1, zlib.DEFLATED, compression.WINDOW_BITS)
    with pytest.raises(FrameError):
        decode_all(IncomingBytes(), compressor.compress(b"x") + compressor.flush())

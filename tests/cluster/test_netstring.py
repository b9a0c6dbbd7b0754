"""Netstrings: frames cut anywhere, and bytes that are no frames."""

import pytest

from dewpin.cluster.netstring import Decoder, FrameError, encode

MESSAGES = [{}, {"type": "a", "text": "é,:1"}, {"list": [1, 2.5, None, True]}]
STREAM = b"".join(encode(message) for message in MESSAGES)


def test_a_frame_is_a_length_a_colon_the_payload_and_a_comma():
    assert encode({"a": 1}) == b'7:{"a":1},'


@pytest.mark.parametrize("cut", range(len(STREAM) + 1))
def test_messages_come_out_whole_wherever_the_stream_is_cut(cut):
    decoder = Decoder()
    assert decoder.feed(STREAM[:cut]) + decoder.feed(STREAM[cut:]) == MESSAGES


def test_messages_come_out_whole_byte_by_byte():
    decoder = Decoder()
    assert [message for byte in STREAM for message in decoder.feed(bytes([byte]))] == MESSAGES


def test_nothing_comes_out_before_the_comma():
    decoder = Decoder()
    assert decoder.feed(b"2:{}") == []
    assert decoder.feed(b",") == [{}]


@pytest.mark.parametrize(
    "garbage",
    [
        b"GET / HTTP/1.1\r\n",
        b":{},",
        b"-2:{},",
        b"+2:{},",
        b"2 :{},",
        b"2:{}x",
        b"3:{},",
        b"2:[],",
        b'3:"a",',
        b"1:{,",
        b"4:null,",
        b"999999999999999",
        b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\x09\x0a",
        b"2:\xff\xfe,",
    ],
)
def test_garbage_is_refused(garbage):
    with pytest.raises(FrameError):
        Decoder().feed(garbage + b"," * 16)


def test_a_frame_over_the_bound_is_refused_by_its_length_alone():
    with pytest.raises(FrameError):
        Decoder(most_bytes=10).feed(b"11:")
    assert Decoder(most_bytes=10).feed(b'10:{"a":1234},') == [{"a": 1234}]

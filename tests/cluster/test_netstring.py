"""Netstrings: decoding of streams split anywhere, and rejection of invalid bytes."""

import pytest

from dewpin.cluster.netstring import Decoder, FrameError, encode

EVERY_BYTE = bytes(range(256))
MESSAGES = [
    {},
    {"type": "a", "text": "é,:1"},
    {"type": "b", "raw": EVERY_BYTE},
    {"list": [1, 2.5, None, True]},
    {"raw": b""},
    {"raw": b"2:{},"},
]
STREAM = b"".join(encode(message) for message in MESSAGES)


def test_frame_is_length_colon_payload_comma():
    assert encode({"a": 1}) == b'7:{"a":1},'


def test_raw_bytes_follow_as_second_netstring():
    assert encode({"a": 1, "raw": b"\x00\xff,"}) == b'15:{"a":1,"raw":3},3:\x00\xff,,'


@pytest.mark.parametrize("cut", range(len(STREAM) + 1))
def test_messages_are_decoded_wherever_the_stream_is_split(cut):
    decoder = Decoder()
    assert decoder.feed(STREAM[:cut]) + decoder.feed(STREAM[cut:]) == MESSAGES


def test_messages_are_decoded_byte_by_byte():
    decoder = Decoder()
    assert [message for byte in STREAM for message in decoder.feed(bytes([byte]))] == MESSAGES


def test_no_message_before_the_comma():
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
        b'9:{"raw":2},3:abc,',
        b'9:{"raw":3},2:ab,',
        b'9:{"raw":2},2:{}x',
        b'9:{"raw":2},{"a":1},',
        b'10:{"raw":-1},',
        b'11:{"raw":1.0},1:a,',
        b'12:{"raw":true},1:a,',
        b'11:{"raw":"1"},1:a,',
        b'12:{"raw":null},',
        b'18:{"raw":9999999999},',
    ],
)
def test_invalid_bytes_are_rejected(garbage):
    with pytest.raises(FrameError):
        Decoder().feed(garbage + b"," * 16)


def test_frame_over_the_limit_is_rejected_by_its_length():
    with pytest.raises(FrameError):
        Decoder(max_bytes=10).feed(b"11:")
    assert Decoder(max_bytes=10).feed(b'10:{"a":1234},') == [{"a": 1234}]


def test_no_message_before_its_raw_bytes_are_complete():
    decoder = Decoder()
    assert decoder.feed(b'9:{"raw":2},2:ab') == []
    assert decoder.feed(b",2:{},") == [{"raw": b"ab"}, {}]


@pytest.mark.parametrize("raw", [b"1:a,", b"3:abc,"])
def test_raw_bytes_of_another_length_than_announced_are_rejected(raw):
    with pytest.raises(FrameError):
        Decoder().feed(b'9:{"raw":2},' + raw)


def test_raw_bytes_over_the_limit_are_rejected_by_encoder_and_decoder():
    with pytest.raises(FrameError):
        encode({"raw": bytes(20)}, max_bytes=19)
    with pytest.raises(FrameError):
        Decoder(max_bytes=19).feed(b'10:{"raw":20},')
    assert Decoder(max_bytes=20).feed(encode({"raw": bytes(20)}, max_bytes=20)) == [{"raw": bytes(20)}]


@pytest.mark.parametrize("raw", [1, "text", [1]])
def test_encoder_rejects_raw_that_is_not_bytes(raw):
    with pytest.raises(FrameError):
        encode({"raw": raw})

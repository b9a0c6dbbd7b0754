"""The frames of RPC calls: recorded bytes on the wire, and rejection of invalid frames."""

import pytest

from dewpin.cluster.netstring import Decoder
from dewpin.cluster.rpc_frames import InvalidFrameError, ReplyFrame, RequestFrame

MESSAGE = {"type": "turn.stored", "text": "ä"}
REQUEST = b'56:{"v":1,"n":7,"m":{"type":"turn.stored","text":"\\u00e4"}},'
REPLY = REQUEST.replace(b'"n"', b'"r"')


@pytest.mark.parametrize(
    ("frame", "wire"),
    [(RequestFrame(7, MESSAGE), REQUEST), (ReplyFrame(7, MESSAGE), REPLY)],
    ids=["request", "answer"],
)
def test_frame_round_trips_through_recorded_bytes(frame, wire):
    assert frame.encode() == wire
    (decoded,) = Decoder().feed(wire)
    assert type(frame).decode(decoded) == frame


@pytest.mark.parametrize(
    "wrong",
    [
        {"v": 1, "r": 7, "m": MESSAGE},
        {"v": 2, "n": 7, "m": MESSAGE},
        {"n": 7, "m": MESSAGE},
        {"v": 1, "m": MESSAGE},
        {"v": 1, "n": True, "m": MESSAGE},
        {"v": 1, "n": 7.0, "m": MESSAGE},
        {"v": 1, "n": "7", "m": MESSAGE},
        {"v": 1, "n": 7, "m": [MESSAGE]},
        {"v": 1, "n": 7},
    ],
)
def test_invalid_request_frame_is_rejected(wrong):
    with pytest.raises(InvalidFrameError):
        RequestFrame.decode(wrong)


def test_raw_bytes_round_trip_behind_the_frame():
    message = {"type": "store.pulled", "raw": bytes(range(256))}
    wire = ReplyFrame(7, message).encode()
    assert wire == b'51:{"v":1,"r":7,"m":{"type":"store.pulled"},"raw":256},256:' + message["raw"] + b","
    (decoded,) = Decoder().feed(wire)
    assert ReplyFrame.decode(decoded) == ReplyFrame(7, message)
    assert message["raw"] == bytes(range(256))


def test_raw_bytes_in_json_are_rejected():
    with pytest.raises(InvalidFrameError):
        RequestFrame.decode({"v": 1, "n": 7, "m": {"type": "a", "raw": 3}})

"""The calls at the console, without I/O: from a request's first line to a response.

The names of calls and metrics on the wire are those of the operators' page; the program's own names are in
`SenderMetrics`. Whatever is asked, there is a response: a call that makes no sense is rejected, never an error.
"""

import re
from collections.abc import Mapping
from enum import Enum
from typing import Any, Protocol
from urllib.parse import unquote_to_bytes

import msgspec

ENDINGS = {"success": "relayed", "overload": "deferred", "error": "bounced"}
"""Names of the operators' page, and the values of `core.model.Decision` that they stand for."""

MAX_RECEIVER_ID_BYTES = 256
INVALID_ESCAPE_PATTERN = re.compile(rb"%(?![0-9A-Fa-f]{2})")

READY_PATH = b"/_ready"
METRICS_PATH = b"/_vars"
DETACH_PATH = b"/_receivers/detach"
ATTACH_PATH = b"/_receivers/attach"
METHODS = {READY_PATH: b"GET", METRICS_PATH: b"GET", DETACH_PATH: b"POST", ATTACH_PATH: b"POST"}


class Response(msgspec.Struct, frozen=True):
    """A response: status, further header lines, body."""

    status: int
    header_lines: bytes = b""
    body: bytes = b""


class ReceiverChange(Enum):
    """What came of a wish to detach or attach a receiver; the value is the status of the response."""

    DONE = 200
    UNKNOWN_RECEIVER = 404
    UNAVAILABLE = 503  # the journal can't record it, or the process still starts


class SenderMetrics(msgspec.Struct, frozen=True):
    """Metrics of a sender since the start of its process.

    Attributes:
        endings: counts of relayed, deferred and bounced messages, by queue class.
        sent: messages written completely to receivers, retries included.
        pending: messages accepted and not ended.
        listed_receivers: receivers that the list names.
        avoided_receivers: of those, the ones that get no messages or a trickle.
    """

    endings: Mapping[bytes, Mapping[Any, int]]
    sent: int
    pending: int
    listed_receivers: int
    avoided_receivers: int


class SenderOperations(Protocol):
    """What the console asks of a sender."""

    def is_ready(self) -> bool:
        """Return whether this process accepts messages."""

    def metrics(self) -> SenderMetrics | None:
        """Return the metrics, or None while the process starts."""

    def detach(self, receiver_id: bytes) -> ReceiverChange:
        """Send nothing more to a receiver."""

    def attach(self, receiver_id: bytes) -> ReceiverChange:
        """Send to a receiver again."""


def respond(first_line: tuple[bytes, ...], sender: SenderOperations) -> Response:
    """Return the response to a request with this first line: (method, target, version)."""
    method, target = first_line[:2]
    path, _, query = target.partition(b"?")
    if path not in METHODS:
        return Response(404)
    if method != METHODS[path]:
        return Response(405, b"Allow: %s\r\n" % METHODS[path])
    if path == READY_PATH:
        return Response(200 if sender.is_ready() else 503)
    if path == METRICS_PATH:
        return _metrics_response(sender.metrics())
    receiver_id = parse_receiver_id(query)
    if not receiver_id or len(receiver_id) > MAX_RECEIVER_ID_BYTES:
        return Response(400)
    change = sender.detach(receiver_id) if path == DETACH_PATH else sender.attach(receiver_id)
    return Response(change.value)


def _metrics_response(metrics: SenderMetrics | None) -> Response:
    if metrics is None:
        return Response(503)
    body = msgspec.json.encode(encode_metrics(metrics))
    return Response(200, b"Content-Type: application/json\r\n", body)


def encode_metrics(metrics: SenderMetrics) -> dict[str, Any]:
    """Return the metrics under the names of the operators' page."""
    replies = {
        queue_class.decode("latin-1"): {name: counts[ending] for name, ending in ENDINGS.items()}
        for queue_class, counts in metrics.endings.items()
    }
    return {
        "replies": replies,
        "concurrent": metrics.pending,
        "dispatches": metrics.sent,
        "targets": metrics.listed_receivers,
        "targets_disabled": metrics.avoided_receivers,
    }


def parse_receiver_id(query: bytes) -> bytes:
    """Return the receiver's id that a query names; b"" where it names none, two, or one that can't be decoded."""
    fields = [field.partition(b"=") for field in query.split(b"&")]
    hosts = [value for name, _, value in fields if name == b"host"]
    if len(hosts) != 1 or INVALID_ESCAPE_PATTERN.search(hosts[0]):
        return b""
    return unquote_to_bytes(hosts[0].replace(b"+", b" "))

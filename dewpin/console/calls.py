"""Request handling of the console, without I/O: from a request line to a response.

Paths and metric names on the wire are those documented for operators; the internal names are in `SenderMetrics`. Every
request gets a response: an invalid one is rejected and never raises an exception.
"""

import re
from collections.abc import Mapping
from enum import Enum
from typing import Any, Protocol
from urllib.parse import unquote_to_bytes

import msgspec

ENDINGS = {"success": "relayed", "overload": "deferred", "error": "bounced"}
"""Names on the wire: the corresponding values of `core.model.Decision`."""

MAX_RECEIVER_ID_BYTES = 256
INVALID_ESCAPE_PATTERN = re.compile(rb"%(?![0-9A-Fa-f]{2})")

READY_PATH = b"/_ready"
METRICS_PATH = b"/_vars"
DETACH_PATH = b"/_receivers/detach"
ATTACH_PATH = b"/_receivers/attach"
METHODS = {READY_PATH: b"GET", METRICS_PATH: b"GET", DETACH_PATH: b"POST", ATTACH_PATH: b"POST"}


class Response(msgspec.Struct, frozen=True):
    """An HTTP response: status, additional header lines, body."""

    status: int
    header_lines: bytes = b""
    body: bytes = b""


class ReceiverChange(Enum):
    """Result of detaching or attaching a receiver; the value is the HTTP status of the response."""

    DONE = 200
    UNKNOWN_RECEIVER = 404
    UNAVAILABLE = 503  # the journal can't record it, or the process is still starting


class SenderMetrics(msgspec.Struct, frozen=True):
    """Metrics of a sender since the start of its process.

    Attributes:
        endings: counts of relayed, deferred and bounced messages, by queue class.
        sent: messages written completely to receivers, retries included.
        pending: messages accepted and not ended.
        listed_receivers: receivers in the endpoint list.
        avoided_receivers: of those, the ones that get no messages or only a reduced rate.
    """

    endings: Mapping[bytes, Mapping[Any, int]]
    sent: int
    pending: int
    listed_receivers: int
    avoided_receivers: int


class SenderOperations(Protocol):
    """Operations of a sender that the console uses."""

    def is_ready(self) -> bool:
        """Return whether this process accepts messages."""

    def metrics(self) -> SenderMetrics | None:
        """Return the metrics, or None while the process is starting."""

    def detach(self, receiver_id: bytes) -> ReceiverChange:
        """Stop sending messages to a receiver."""

    def attach(self, receiver_id: bytes) -> ReceiverChange:
        """Resume sending messages to a receiver."""


def respond(request_line: tuple[bytes, ...], sender: SenderOperations) -> Response:
    """Return the response to a request with this request line: (method, target, version)."""
    method, target = request_line[:2]
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
    """Return the metrics under their names on the wire."""
    counts_by_queue_class = {
        queue_class.decode("latin-1"): {name: counts[ending] for name, ending in ENDINGS.items()}
        for queue_class, counts in metrics.endings.items()
    }
    return {
        "replies": counts_by_queue_class,
        "concurrent": metrics.pending,
        "dispatches": metrics.sent,
        "targets": metrics.listed_receivers,
        "targets_disabled": metrics.avoided_receivers,
    }


def parse_receiver_id(query: bytes) -> bytes:
    """Return the receiver id in a query; b"" if there is none, more than one, or one that can't be decoded."""
    parameters = [parameter.partition(b"=") for parameter in query.split(b"&")]
    hosts = [value for name, _, value in parameters if name == b"host"]
    if len(hosts) != 1 or INVALID_ESCAPE_PATTERN.search(hosts[0]):
        return b""
    return unquote_to_bytes(hosts[0].replace(b"+", b" "))

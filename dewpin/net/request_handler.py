"""What clients' requests mean: messages that are submitted, and the platform's readiness check.

The handler decides nothing about a message: it checks the form of a request and asks the relay.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Protocol
from urllib.parse import unquote_to_bytes

from ..log import events, log_event
from ..ports import Accepted, MessageIntake, Rejected, RejectionReason, SubmitRequest
from .http_messages import Request

SUBMIT_PATH = b"/api"
READINESS_PATH = b"/-/ready"
MAX_ORDERING_KEY_BYTES = 256
MAX_DESTINATION_DIGITS = 9
VISIBLE_WORD = re.compile(rb"[\x21-\x7e]{1,256}")
DECIMAL_SECONDS = re.compile(rb"\d{1,9}(\.\d{1,9})?")

STATUSES_OF_REJECTIONS = {RejectionReason.UNKNOWN_QUEUE_CLASS: 400, RejectionReason.DUPLICATE_MESSAGE_ID: 409}

ResponseParts = tuple[int, bytes]
"""The status, and further field lines of the response."""

OK: ResponseParts = (200, b"")
ACCEPTED: ResponseParts = (202, b"")
BAD_REQUEST: ResponseParts = (400, b"")
NOT_FOUND: ResponseParts = (404, b"")
METHOD_NOT_ALLOWED: ResponseParts = (405, b"Allow: POST\r\n")
SERVICE_UNAVAILABLE: ResponseParts = (503, b"")


if TYPE_CHECKING:  # a protocol is costly to make, and each start would make it

    class PipeliningParser(Protocol):
        """What the handler needs of a connection's parser."""

        def has_pipelined_bytes(self) -> bool:
            """Whether bytes came behind the request."""

    class RequestConnection(Protocol):
        """What the handler needs of the connection that a request came on: see `ClientConnection`."""

        @property
        def parser(self) -> PipeliningParser:
            """The parser of its requests."""

        def reject(self, status: int) -> None:
            """Answer with an error and end the connection."""

        def is_closed_by_client(self) -> bool:
            """Whether the client has ended its side."""


class RequestHandler:
    """Answers clients' requests."""

    def __init__(self, relay: MessageIntake) -> None:
        self._relay = relay

    def handle(self, request: Request, connection: RequestConnection) -> ResponseParts:
        """Return the response to a request that arrived whole on this connection."""
        path, _, query = request.target.partition(b"?")
        if path == SUBMIT_PATH:
            if request.method != b"POST":
                return METHOD_NOT_ALLOWED
            if connection.parser.has_pipelined_bytes():
                # It may be what a wrong length hides, or one of hundreds: a client submits one message at a time.
                connection.reject(400)
                return BAD_REQUEST
            if connection.is_closed_by_client():
                return SERVICE_UNAVAILABLE  # it gave up while we were stalled, and submits the message elsewhere
            return self._submit(request, query)
        if path == READINESS_PATH and request.method in (b"GET", b"HEAD"):
            return SERVICE_UNAVAILABLE if self._relay.is_draining else OK
        return NOT_FOUND

    def _submit(self, request: Request, query: bytes) -> ResponseParts:
        """Submit the message of a request, if its fields are valid."""
        fields = request.fields
        message_id = fields.get(b"req-id", b"")
        queue_class = fields.get(b"req-kind", b"")
        idempotency_key = fields.get(b"idempotency-key", b"")
        lifetime = fields.get(b"req-deadline")
        destination = _named_value(fields.get(b"x-consignee", b"").split(b","), b"dest")
        ordering_key = unquote_to_bytes(_named_value(query.split(b"&"), b"about"))
        if not (
            VISIBLE_WORD.fullmatch(message_id)
            and len(ordering_key) <= MAX_ORDERING_KEY_BYTES
            and (not idempotency_key or VISIBLE_WORD.fullmatch(idempotency_key))
            and (lifetime is None or _is_positive_decimal(lifetime))
            and _is_destination_number(destination)
        ):
            return BAD_REQUEST
        submission = SubmitRequest(
            message_id,
            queue_class,
            fields.get(b"req-owner", b""),
            ordering_key,
            destination,
            idempotency_key,
            request.body,
            None if lifetime is None else float(lifetime) * 1000.0,
            b"req-retry" in fields,
        )
        result = self._relay.submit(submission)
        if isinstance(result, Accepted):
            return ACCEPTED
        if isinstance(result, Rejected):
            status, retry_after_ms = STATUSES_OF_REJECTIONS[result.reason], 0.0
        else:
            status, retry_after_ms = 503, result.retry_after_ms
        log_event(
            events.MESSAGE_REJECTED,
            message=message_id,
            status=status,
            queue_class=fields.get(b"req-kind"),
            destination=destination,
            retry_after_ms=retry_after_ms,
        )
        return status, b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms > 0.0 else b""


def _is_positive_decimal(text: bytes) -> bool:
    return bool(DECIMAL_SECONDS.fullmatch(text)) and float(text) > 0.0


def _is_destination_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= MAX_DESTINATION_DIGITS


def _named_value(parts: list[bytes], name: bytes) -> bytes:
    """Return the value of the first `name=value` among these parts, or nothing."""
    for part in parts:
        found, _, value = part.strip().partition(b"=")
        if found == name:
            return value
    return b""

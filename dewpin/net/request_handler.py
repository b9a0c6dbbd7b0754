"""Handling of clients' requests: message submission and the platform's readiness check.

The handler makes no decisions about messages: it validates a request and passes its message to the relay.
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
VISIBLE_ASCII = re.compile(rb"[\x21-\x7e]{1,256}")
DECIMAL_SECONDS = re.compile(rb"\d{1,9}(\.\d{1,9})?")

STATUSES_BY_REJECTION = {RejectionReason.UNKNOWN_QUEUE_CLASS: 400, RejectionReason.DUPLICATE_MESSAGE_ID: 409}

ResponseParts = tuple[int, bytes]
"""The status and additional field lines of a response."""

OK: ResponseParts = (200, b"")
ACCEPTED: ResponseParts = (202, b"")
BAD_REQUEST: ResponseParts = (400, b"")
NOT_FOUND: ResponseParts = (404, b"")
METHOD_NOT_ALLOWED: ResponseParts = (405, b"Allow: POST\r\n")
SERVICE_UNAVAILABLE: ResponseParts = (503, b"")


if TYPE_CHECKING:  # creating a protocol class would slow down each start of a process

    class PipeliningParser(Protocol):
        """The interface of a connection's parser that the handler uses."""

        def has_pipelined_bytes(self) -> bool:
            """Return whether bytes follow the request."""

    class RequestConnection(Protocol):
        """The interface of `ClientConnection` that the handler uses."""

        @property
        def parser(self) -> PipeliningParser:
            """The parser of its requests."""

        def reject(self, status: int) -> None:
            """Respond with an error and close the connection gracefully."""

        def is_closed_by_client(self) -> bool:
            """Return whether the client has closed its sending direction."""


class RequestHandler:
    """Answers clients' requests."""

    def __init__(self, relay: MessageIntake) -> None:
        self._relay = relay

    def handle(self, request: Request, connection: RequestConnection) -> ResponseParts:
        """Return the response to a complete request on this connection."""
        path, _, query = request.target.partition(b"?")
        if path == SUBMIT_PATH:
            if request.method != b"POST":
                return METHOD_NOT_ALLOWED
            if connection.parser.has_pipelined_bytes():
                # Rejected because the bytes may result from a wrong Content-Length, or be one of hundreds of pipelined
                # requests; clients must submit one message at a time.
                connection.reject(400)
                return BAD_REQUEST
            if connection.is_closed_by_client():
                return SERVICE_UNAVAILABLE  # it gave up while this process was stalled, and submits it elsewhere
            return self._submit(request, query)
        if path == READINESS_PATH and request.method in (b"GET", b"HEAD"):
            return SERVICE_UNAVAILABLE if self._relay.is_draining else OK
        return NOT_FOUND

    def _submit(self, request: Request, query: bytes) -> ResponseParts:
        """Submit the message in a request if its fields are valid, and return the response."""
        fields = request.fields
        message_id = fields.get(b"req-id", b"")
        queue_class = fields.get(b"req-kind", b"")
        idempotency_key = fields.get(b"idempotency-key", b"")
        lifetime = fields.get(b"req-deadline")
        destination = _find_parameter(fields.get(b"x-consignee", b"").split(b","), b"dest")
        ordering_key = unquote_to_bytes(_find_parameter(query.split(b"&"), b"about"))
        if not (
            VISIBLE_ASCII.fullmatch(message_id)
            and len(ordering_key) <= MAX_ORDERING_KEY_BYTES
            and (not idempotency_key or VISIBLE_ASCII.fullmatch(idempotency_key))
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
            status, retry_after_ms = STATUSES_BY_REJECTION[result.reason], 0.0
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


def _find_parameter(parts: list[bytes], name: bytes) -> bytes:
    """Return the value of the first `name=value` in these parts, or an empty one."""
    for part in parts:
        key, _, value = part.strip().partition(b"=")
        if key == name:
            return value
    return b""

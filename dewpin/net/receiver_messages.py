"""The messages of a call to a receiver: formatting of requests and interpretation of responses."""

import re
from typing import NamedTuple

from ..core.model import Outcome
from ..ports import AttemptRequest
from .http_messages import Response

GONE = 410
OUTCOMES_BY_STATUS = {
    200: Outcome.DELIVERED,
    429: Outcome.REJECTED,
    503: Outcome.REJECTED,
    504: Outcome.NOT_SENT,
    GONE: Outcome.NOT_SENT,
}
MAX_NUMBER = 1e12
NUMBER = re.compile(rb"[0-9.eE+-]{1,32}")


class ResponseDetails(NamedTuple):
    """The content of a response.

    Attributes:
        outcome: outcome of the attempt.
        retry_after_ms: wait that the receiver requested; 0 if none.
        load_report: the receiver's load figures by name.
    """

    outcome: str
    retry_after_ms: float
    load_report: dict[str, float]


def format_call(attempt: AttemptRequest) -> bytes:
    """Return the bytes of a call's request; the body is passed on unmodified."""
    host, port = attempt.address[:2]
    idempotency_key = attempt.idempotency_key
    key_field = b"Idempotency-Key: %s\r\n" % idempotency_key if idempotency_key else b""
    head = b"POST /hook HTTP/1.1\r\nHost: %s:%d\r\nReq-Id: %s\r\n%sReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n" % (
        host.encode(),
        port,
        attempt.message_id,
        key_field,
        attempt.timeout_ms / 1000.0,
        len(attempt.body),
    )
    return head + attempt.body


def outcome_of_status(status: int) -> str:
    """Return the outcome that corresponds to this response status."""
    return OUTCOMES_BY_STATUS.get(status, Outcome.ERROR)


def read_response(outcome: str, response: Response | None) -> ResponseDetails:
    """Return the content of a response; `outcome` corresponds to its status, or to the failure without a response."""
    if response is None:
        return ResponseDetails(outcome, 0.0, {})
    retry_after_ms = 0.0
    if outcome == Outcome.REJECTED:
        if response.fields.get(b"x-line-busy") == b"1":
            outcome = Outcome.NOT_SENT
        else:
            retry_after_ms = 1000.0 * _parse_number(response.fields.get(b"retry-after", b"0"))
    return ResponseDetails(outcome, retry_after_ms, _parse_load_report(response.fields.get(b"srv-load", b"")))


def _parse_load_report(field: bytes) -> dict[str, float]:
    load_report = {}
    for part in field.split(b","):
        name, equals, value = part.strip().partition(b"=")
        if equals and NUMBER.fullmatch(value.strip()):
            load_report[name.decode("latin-1")] = _parse_number(value)
    return load_report


def _parse_number(text: bytes) -> float:
    """Return the number in a text, or 0 if it is invalid, negative or too large."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0.0 <= value < MAX_NUMBER else 0.0

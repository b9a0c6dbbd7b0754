"""Errors of the serving tier: the base class of all exceptions and the fixed set of error kinds.

Every error that crosses a package or process boundary has an `ErrorKind`, whose value is the field `kind` of error
messages between processes. `ERROR_RESPONSES` maps each kind to the HTTP response that a client or an operator gets and
to the level at which the error is logged.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from types import MappingProxyType


class DewpinError(Exception):
    """Base class of the exceptions raised by the serving tier."""


@unique
class ErrorKind(StrEnum):
    """The kind of an error; the values are sent between processes and to clients and must not change."""

    BAD_REQUEST = "bad_request"
    NO_ROUTE = "no_route"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    BUDGET_SPENT = "budget_spent"
    TURN_UNKNOWN = "turn_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_CONFIGURATION = "no_configuration"
    OVERLOADED = "overloaded"
    NO_RECEIVER = "no_receiver"
    STOPPING = "stopping"
    RECEIVER_FAILED = "receiver_failed"
    DEADLINE_PASSED = "deadline_passed"
    CONFIGURATION_INVALID = "configuration_invalid"
    VERSION_MISMATCH = "version_mismatch"
    MACHINE_UNKNOWN = "machine_unknown"
    TOO_FEW_REMAIN = "too_few_remain"
    CHANGE_IN_PROGRESS = "order_under_way"
    NO_QUORUM = "no_quorum"
    STALE_EPOCH = "stale_epoch"
    BALLOT_REJECTED = "ballot_rejected"
    UNKNOWN_MESSAGE = "unknown_message"
    UNREACHABLE = "unreachable"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to a request that failed with one kind of error.

    `status`: HTTP status code.
    `guarantees_not_run`: whether the status guarantees that the request was not executed and never will be.
    `log_level`: `logging` level of the error's log line.
    """

    status: int
    guarantees_not_run: bool
    log_level: int


NOT_RUN_STATUSES = frozenset({402, 408, 421, 429, 503})
"""Statuses that guarantee to the caller that the request was not executed and never will be."""

ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorResponse(400, False, logging.INFO),
        ErrorKind.NO_ROUTE: ErrorResponse(404, False, logging.DEBUG),
        ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, False, logging.INFO),
        ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, False, logging.INFO),
        ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, True, logging.INFO),
        ErrorKind.BUDGET_SPENT: ErrorResponse(402, True, logging.DEBUG),
        ErrorKind.TURN_UNKNOWN: ErrorResponse(404, False, logging.DEBUG),
        ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, True, logging.WARNING),
        ErrorKind.NO_CONFIGURATION: ErrorResponse(503, True, logging.INFO),
        ErrorKind.OVERLOADED: ErrorResponse(503, True, logging.INFO),
        ErrorKind.NO_RECEIVER: ErrorResponse(503, True, logging.INFO),
        ErrorKind.STOPPING: ErrorResponse(503, True, logging.DEBUG),
        ErrorKind.RECEIVER_FAILED: ErrorResponse(502, False, logging.INFO),
        ErrorKind.DEADLINE_PASSED: ErrorResponse(504, False, logging.INFO),
        ErrorKind.CONFIGURATION_INVALID: ErrorResponse(400, False, logging.WARNING),
        ErrorKind.VERSION_MISMATCH: ErrorResponse(412, False, logging.INFO),
        ErrorKind.MACHINE_UNKNOWN: ErrorResponse(404, False, logging.INFO),
        ErrorKind.TOO_FEW_REMAIN: ErrorResponse(409, False, logging.WARNING),
        ErrorKind.CHANGE_IN_PROGRESS: ErrorResponse(409, False, logging.INFO),
        ErrorKind.NO_QUORUM: ErrorResponse(504, False, logging.WARNING),
        ErrorKind.STALE_EPOCH: ErrorResponse(500, False, logging.INFO),
        ErrorKind.BALLOT_REJECTED: ErrorResponse(500, False, logging.DEBUG),
        ErrorKind.UNKNOWN_MESSAGE: ErrorResponse(400, False, logging.WARNING),
        ErrorKind.UNREACHABLE: ErrorResponse(502, False, logging.INFO),
        ErrorKind.INTERNAL: ErrorResponse(500, False, logging.ERROR),
    }
)


class TierError(DewpinError):
    """An error with a kind from the fixed set.

    `kind`: kind of the error.
    `detail`: text for logs and for the response body; may be empty.
    """

    def __init__(self, kind: ErrorKind, detail: str = "") -> None:
        super().__init__(f"{kind}: {detail}" if detail else str(kind))
        self.kind = kind
        self.detail = detail

    @property
    def response(self) -> ErrorResponse:
        """Return the response to a request that failed with this error."""
        return ERROR_RESPONSES[self.kind]

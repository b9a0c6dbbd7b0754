"""The closed list of error kinds of the tier, and how each is answered to a client or an operator.

Every error that crosses a package or a process is one of `ErrorKind`; its value is the `kind` of an error message
between processes. `ANSWERS` tells for each kind the HTTP status, whether that answer promises that the request has not
run and never will, and the level at which the error is logged.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from types import MappingProxyType


@unique
class ErrorKind(StrEnum):
    """What went wrong."""

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
    ORDER_UNDER_WAY = "order_under_way"
    NO_QUORUM = "no_quorum"
    STALE_EPOCH = "stale_epoch"
    BALLOT_REJECTED = "ballot_rejected"
    UNKNOWN_MESSAGE = "unknown_message"
    UNREACHABLE = "unreachable"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """How an error is answered: `promises_not_run` is set for exactly the statuses that carry that promise."""

    status: int
    promises_not_run: bool
    log_level: int


PROMISING_STATUSES = frozenset({402, 408, 421, 429, 503})
"""The statuses that promise a caller that the request has not run and never will."""

ANSWERS: Mapping[ErrorKind, ErrorAnswer] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorAnswer(400, False, logging.INFO),
        ErrorKind.NO_ROUTE: ErrorAnswer(404, False, logging.DEBUG),
        ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, False, logging.INFO),
        ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(431, False, logging.INFO),
        ErrorKind.REQUEST_TIMEOUT: ErrorAnswer(408, True, logging.INFO),
        ErrorKind.BUDGET_SPENT: ErrorAnswer(402, True, logging.DEBUG),
        ErrorKind.TURN_UNKNOWN: ErrorAnswer(404, False, logging.DEBUG),
        ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(503, True, logging.WARNING),
        ErrorKind.NO_CONFIGURATION: ErrorAnswer(503, True, logging.INFO),
        ErrorKind.OVERLOADED: ErrorAnswer(503, True, logging.INFO),
        ErrorKind.NO_RECEIVER: ErrorAnswer(503, True, logging.INFO),
        ErrorKind.STOPPING: ErrorAnswer(503, True, logging.DEBUG),
        ErrorKind.RECEIVER_FAILED: ErrorAnswer(502, False, logging.INFO),
        ErrorKind.DEADLINE_PASSED: ErrorAnswer(504, False, logging.INFO),
        ErrorKind.CONFIGURATION_INVALID: ErrorAnswer(400, False, logging.WARNING),
        ErrorKind.VERSION_MISMATCH: ErrorAnswer(412, False, logging.INFO),
        ErrorKind.MACHINE_UNKNOWN: ErrorAnswer(404, False, logging.INFO),
        ErrorKind.TOO_FEW_REMAIN: ErrorAnswer(409, False, logging.WARNING),
        ErrorKind.ORDER_UNDER_WAY: ErrorAnswer(409, False, logging.INFO),
        ErrorKind.NO_QUORUM: ErrorAnswer(504, False, logging.WARNING),
        ErrorKind.STALE_EPOCH: ErrorAnswer(500, False, logging.INFO),
        ErrorKind.BALLOT_REJECTED: ErrorAnswer(500, False, logging.DEBUG),
        ErrorKind.UNKNOWN_MESSAGE: ErrorAnswer(400, False, logging.WARNING),
        ErrorKind.UNREACHABLE: ErrorAnswer(502, False, logging.INFO),
        ErrorKind.INTERNAL: ErrorAnswer(500, False, logging.ERROR),
    }
)


class TierError(Exception):
    """An error of a known kind; `detail` is for logs and for the body of the answer."""

    def __init__(self, kind: ErrorKind, detail: str = "") -> None:
        super().__init__(f"{kind}: {detail}" if detail else str(kind))
        self.kind = kind
        self.detail = detail

    @property
    def answer(self) -> ErrorAnswer:
        """Return how this error is answered."""
        return ANSWERS[self.kind]

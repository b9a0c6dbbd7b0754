"""Notices to the platform's agent: of messages that were given up, so that their clients hear of it.

A notice is sent again until the agent acknowledges it, also to another address if the agent moves.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from ..log import events, log_event, log_internal_error
from .agent_connection import AgentConnection

# For a notice's connection, and as long for its response, which comes at once: the platform waits 0.3 s beyond a
# message's lifetime for it. Each retry allows twice as much, up to the maximum.
MIN_TIMEOUT_SECONDS = 0.12
MAX_TIMEOUT_SECONDS = 1.0
RETRY_PAUSE_FACTORS = (0.125, 0.375)  # of the time-out: between these a retry's pause is drawn
MAX_BATCH = 100  # notices in one request
MAX_LOGGED_BYTES = 200


class _PendingNotice(NamedTuple):
    """A notice without an acknowledgement: its line in a request, and what to call behind it."""

    line: bytes
    on_acknowledged: Callable[[], None]


class AgentNoticePublisher:
    """Sends notices, in the order in which they came.

    Attributes:
        unacknowledged: the notices without an acknowledgement, by their number.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.unacknowledged: dict[int, _PendingNotice] = {}
        self._count = 0
        self._has_notices = asyncio.Event()
        self._max_batch = MAX_BATCH
        self._connection = AgentConnection(self._run)
        self.move(address)

    def move(self, address: tuple[str, int]) -> None:
        """Send to the agent at this address, pending notices too."""
        self._connection.move(address)

    def stop(self) -> None:
        """Send nothing any more."""
        self._connection.stop()

    def publish(
        self, message_id: bytes, is_deferred: bool, retry_after_ms: float, on_acknowledged: Callable[[], None]
    ) -> None:
        """Send a notice that a message is given up until it is acknowledged, then call `on_acknowledged`.

        Args:
            message_id: the message's id.
            is_deferred: the client may safely submit the message again.
            retry_after_ms: when, counted from now; 0 for no advice.
            on_acknowledged: called once.
        """
        notice: dict[str, Any] = {
            "message": message_id.decode("latin-1"),
            "outcome": "handed_back" if is_deferred else "given_up",
        }
        if is_deferred and retry_after_ms > 0.0:
            notice["retry_in_ms"] = round(retry_after_ms, 3)
        self._count += 1
        self.unacknowledged[self._count] = _PendingNotice(msgspec.json.encode(notice), on_acknowledged)
        self._has_notices.set()

    async def _run(self) -> None:
        self._max_batch = MAX_BATCH
        timeout_seconds = MIN_TIMEOUT_SECONDS
        while True:
            await self._has_notices.wait()
            if await self._send_batch(timeout_seconds):
                timeout_seconds = MIN_TIMEOUT_SECONDS
                if not self.unacknowledged:
                    self._has_notices.clear()
                    self._max_batch = MAX_BATCH
            else:
                await asyncio.sleep(timeout_seconds * random.uniform(*RETRY_PAUSE_FACTORS))
                timeout_seconds = min(2.0 * timeout_seconds, MAX_TIMEOUT_SECONDS)

    async def _send_batch(self, timeout_seconds: float) -> bool:
        """Send the oldest notices; return whether the agent answered them, with success or with 400 (invalid)."""
        numbers = list(self.unacknowledged)[: self._max_batch]
        body = b"".join(self.unacknowledged[number].line + b"\n" for number in numbers)
        response = await self._connection.exchange(self._format_request(body), timeout_seconds, timeout_seconds)
        status = response.status if response else 0
        is_invalid = status == 400
        if is_invalid:
            log_event(events.NOTICE_REJECTED, sample=body[:MAX_LOGGED_BYTES])
        if 200 <= status < 300 or (is_invalid and len(numbers) == 1):
            for number in numbers:
                _call_acknowledged(self.unacknowledged.pop(number))
        elif is_invalid:
            self._max_batch = 1  # one of them is invalid: each by itself until all are acknowledged
        else:
            return False
        return True

    def _format_request(self, body: bytes) -> bytes:
        return (
            b"POST /v1/notices HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (self._connection.host_field, len(body))
            + body
        )


def _call_acknowledged(notice: _PendingNotice) -> None:
    try:
        notice.on_acknowledged()
    except Exception:  # a fault with one message must not keep the others' notices back
        log_internal_error("notices")

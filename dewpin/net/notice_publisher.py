"""Publisher of notices to the platform's agent about messages that were given up, for the messages' clients.

A notice is sent repeatedly until the agent acknowledges it, at its new address if the agent moves.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from ..log import events, log_event, log_internal_error
from .agent_connection import AgentConnection

# Time-outs for connecting to the agent and, separately, for its response, which it sends without delay. The platform
# waits for a notice until 0.3 s after the end of a message's lifetime. The time-out doubles with each retry, up to the
# maximum.
MIN_TIMEOUT_SECONDS = 0.12
MAX_TIMEOUT_SECONDS = 1.0
RETRY_PAUSE_FACTORS = (0.125, 0.375)  # range of the random pause before a retry, as factors of the time-out
MAX_BATCH = 100  # notices in one request
MAX_SAMPLE_BYTES = 200


class _PendingNotice(NamedTuple):
    """An unacknowledged notice: its line in a request, and the callback for its acknowledgement."""

    line: bytes
    on_acknowledged: Callable[[], None]


class AgentNoticePublisher:
    """Sends notices in the order in which they were published.

    Attributes:
        unacknowledged: the unacknowledged notices by their sequence number.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.unacknowledged: dict[int, _PendingNotice] = {}
        self._last_number = 0
        self._has_notices = asyncio.Event()
        self._max_batch = MAX_BATCH
        self._connection = AgentConnection(self._run)
        self.move(address)

    def move(self, address: tuple[str, int]) -> None:
        """Send all notices, including pending ones, to the agent at this address."""
        self._connection.move(address)

    def stop(self) -> None:
        """Stop sending."""
        self._connection.stop()

    def publish(
        self, message_id: bytes, is_deferred: bool, retry_after_ms: float, on_acknowledged: Callable[[], None]
    ) -> None:
        """Send a notice that a message was given up, repeatedly until it is acknowledged.

        Args:
            message_id: the message's id.
            is_deferred: whether the client can safely submit the message again.
            retry_after_ms: recommended delay before that; 0 if not specified.
            on_acknowledged: called once, when the notice is acknowledged.
        """
        notice: dict[str, Any] = {
            "message": message_id.decode("latin-1"),
            "outcome": "handed_back" if is_deferred else "given_up",
        }
        if is_deferred and retry_after_ms > 0.0:
            notice["retry_in_ms"] = round(retry_after_ms, 3)
        self._last_number += 1
        self.unacknowledged[self._last_number] = _PendingNotice(msgspec.json.encode(notice), on_acknowledged)
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
        """Send the oldest notices; return whether the agent responded with success or with 400 (invalid)."""
        numbers = list(self.unacknowledged)[: self._max_batch]
        body = b"".join(self.unacknowledged[number].line + b"\n" for number in numbers)
        response = await self._connection.exchange(self._format_request(body), timeout_seconds, timeout_seconds)
        status = response.status if response else 0
        is_invalid = status == 400
        if is_invalid:
            log_event(events.NOTICE_REJECTED, sample=body[:MAX_SAMPLE_BYTES])
        if 200 <= status < 300 or (is_invalid and len(numbers) == 1):
            for number in numbers:
                _notify_acknowledged(self.unacknowledged.pop(number))
        elif is_invalid:
            self._max_batch = 1  # one of them is invalid: send them one by one until all are acknowledged
        else:
            return False
        return True

    def _format_request(self, body: bytes) -> bytes:
        return (
            b"POST /v1/notices HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (self._connection.host_field, len(body))
            + body
        )


def _notify_acknowledged(notice: _PendingNotice) -> None:
    try:
        notice.on_acknowledged()
    except Exception:  # an error with one message must not block the notices of others
        log_internal_error("notices")

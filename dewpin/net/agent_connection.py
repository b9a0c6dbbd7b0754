"""A connection to the platform's agent, together with the task that sends requests on it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from .connection import Connection, ExchangeResult
from .http_messages import Response
from .watch_schedule import CONNECT_TIMEOUT_SECONDS

MAX_BODY_BYTES = 8_000_000  # enough for a complete endpoint list


class AgentConnection:
    """One connection, opened on demand, and one task that sends requests on it.

    Attributes:
        host_field: value of the Host header field of requests to the agent.
    """

    host_field: bytes
    _address: tuple[str, int]

    def __init__(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """`run`: the coroutine function of the task."""
        self._run = run
        self._task: asyncio.Task[None] | None = None
        self._connection: Connection | None = None

    def move(self, address: tuple[str, int]) -> None:
        """Restart the task with a connection to this address; a request without a response is abandoned."""
        self.stop()
        self._address = address
        self.host_field = ("%s:%d" % address).encode()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Cancel the task and close the connection."""
        if self._task:
            self._task.cancel()
        self._close()

    async def exchange(
        self, request: bytes, timeout_seconds: float, connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> Response | None:
        """Send a request and return its response; None if it failed or timed out."""
        loop = asyncio.get_running_loop()
        completed: asyncio.Future[tuple[ExchangeResult, Response | None]] = loop.create_future()

        def handle_result(result: ExchangeResult, response: Response | None) -> None:
            if not completed.done():
                completed.set_result((result, response))

        response: Response | None
        try:
            if self._connection is None or self._connection.is_closed:
                async with asyncio.timeout(connect_timeout_seconds):
                    _, self._connection = await loop.create_connection(
                        lambda: Connection(MAX_BODY_BYTES), *self._address
                    )
            self._connection.send(request, handle_result)
            async with asyncio.timeout(timeout_seconds):
                _, response = await completed
        except (OSError, TimeoutError):
            response = None
        if response is None or response.closes_connection or self._has_unparsed_bytes():
            self._close()  # bytes after a response must not be taken for the response to the next request
        return response

    def _has_unparsed_bytes(self) -> bool:
        return self._connection is not None and self._connection.parser.has_unparsed_bytes

    def _close(self) -> None:
        if self._connection:
            self._connection.abandon_exchange()
            self._connection.close()
            self._connection = None

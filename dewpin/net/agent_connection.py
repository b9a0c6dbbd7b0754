"""A connection to the platform's agent, and the task that uses it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from .connection import Connection, ExchangeResult
from .http_messages import Response
from .watch_schedule import CONNECT_TIMEOUT_SECONDS

MAX_BODY_BYTES = 8_000_000  # of a whole endpoint list


class AgentConnection:
    """One connection, opened when it is needed, and one task that sends requests on it.

    Attributes:
        host_field: the value of the Host field of requests to the agent.
    """

    host_field: bytes
    _address: tuple[str, int]

    def __init__(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Make a connection; `run` is the task's coroutine function."""
        self._run = run
        self._task: asyncio.Task[None] | None = None
        self._connection: Connection | None = None

    def move(self, address: tuple[str, int]) -> None:
        """Begin anew at this address: a request elsewhere that has no response yet is dropped."""
        self.stop()
        self._address = address
        self.host_field = ("%s:%d" % address).encode()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """End the task and the connection."""
        if self._task:
            self._task.cancel()
        self._close()

    async def exchange(
        self, request: bytes, timeout_seconds: float, connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> Response | None:
        """Send a request and return its response, or None if there was none in time."""
        loop = asyncio.get_running_loop()
        received: asyncio.Future[tuple[ExchangeResult, Response | None]] = loop.create_future()

        def take_result(result: ExchangeResult, response: Response | None) -> None:
            if not received.done():
                received.set_result((result, response))

        response: Response | None
        try:
            if self._connection is None or self._connection.is_closed:
                async with asyncio.timeout(connect_timeout_seconds):
                    _, self._connection = await loop.create_connection(
                        lambda: Connection(MAX_BODY_BYTES), *self._address
                    )
            self._connection.send(request, take_result)
            async with asyncio.timeout(timeout_seconds):
                _, response = await received
        except (OSError, TimeoutError):
            response = None
        if response is None or response.closes_connection or self._has_unparsed_bytes():
            self._close()  # what followed a response is no response to the next request
        return response

    def _has_unparsed_bytes(self) -> bool:
        return self._connection is not None and self._connection.parser.has_unparsed_bytes

    def _close(self) -> None:
        if self._connection:
            self._connection.abandon_exchange()
            self._connection.close()
            self._connection = None

"""HTTP client for the platform's list of receivers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from typing import Any, Protocol
from urllib.parse import quote

import urllib3

from dewpin.cluster.errors import DewpinError
from dewpin.cluster.receivers import Receiver, receiver_from_platform

MAX_PAGES = 2000
"""Reading stops with an error after this many pages, in case the platform's pagination never ends."""
CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 0.8


class PlatformUnavailableError(DewpinError):
    """The platform did not return its complete list: it did not respond, rejected the request or sent an invalid
    response."""


class PlatformList:
    """Client for the platform's list at one address."""

    def __init__(self, address: str) -> None:
        """Create a client for the list at `address` (`ip:port`)."""
        self._address = address
        self._pool = urllib3.PoolManager(
            num_pools=1,
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def read(self) -> list[Receiver]:
        """Return all receivers, blocking the thread. Raises PlatformUnavailableError unless every page was read."""
        return list(self._pages())

    def _pages(self) -> Iterator[Receiver]:
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = self._page(token)
            try:
                yield from (receiver_from_platform(entry) for entry in page["instances"])
                token = page.get("next_token")
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise PlatformUnavailableError(repr(error)) from error
            if not token:
                return
        raise PlatformUnavailableError("too many pages")

    def _page(self, token: str | None) -> dict[str, Any]:
        url = f"http://{self._address}/instances"
        if token is not None:
            url += f"?page_token={quote(token)}"
        try:
            response = self._pool.request("GET", url, redirect=False)
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailableError(repr(error)) from error
        if response.status != 200:
            raise PlatformUnavailableError(f"status {response.status}")
        try:
            page = json.loads(response.data)
        except ValueError as error:
            raise PlatformUnavailableError(repr(error)) from error
        if not isinstance(page, dict):
            raise PlatformUnavailableError("response body is not a JSON object")
        return page


class PlatformReader(Protocol):
    """Reads the platform's list without blocking the event loop."""

    async def read(self, address: str) -> list[Receiver]:
        """Return all receivers of the list at `address`. Raises PlatformUnavailableError."""


class ThreadedPlatformReader:
    """Reads in a worker thread, over one persistent connection."""

    def __init__(self) -> None:
        """Create a reader without a connection."""
        self._list: PlatformList | None = None
        self._address: str | None = None

    async def read(self, address: str) -> list[Receiver]:
        """Return all receivers of the list at `address`.

        Raises PlatformUnavailableError; the next read then opens a new connection.
        """
        if self._list is None or self._address != address:
            self._list, self._address = PlatformList(address), address
        try:
            return await asyncio.get_running_loop().run_in_executor(None, self._list.read)
        except PlatformUnavailableError:
            self._list = None
            raise

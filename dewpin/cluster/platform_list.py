"""HTTP client for the platform's list of receivers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import quote

from dewpin.cluster.bounded_http_client import BoundedHttpClient, DownloadError, DownloadLimits
from dewpin.cluster.errors import DewpinError
from dewpin.cluster.receivers import Receiver, receiver_from_platform
from dewpin.parsed_size import parsed_bytes

MAX_PAGES = 2000
"""Reading stops with an error after this many pages, in case the platform's pagination never ends."""
MAX_PARSED_PAGE_BYTES = 32_000_000
"""Estimated memory of a page's values from which it is rejected, since a short text may have very many values."""
LIST_LIMITS = DownloadLimits(total_s=15.0, total_bytes=16 * 1024 * 1024, document_bytes=4 * 1024 * 1024)


class PlatformUnavailableError(DewpinError):
    """The platform did not return its complete list: it did not respond, rejected the request or sent an invalid
    response."""


class PlatformList:
    """Client for the platform's list at one address."""

    def __init__(self, address: str) -> None:
        """Create a client for the list at `address` (`ip:port`)."""
        self._client = BoundedHttpClient(address, LIST_LIMITS)

    def read(self) -> list[Receiver]:
        """Return all receivers, blocking the thread. Raises PlatformUnavailableError unless every page was read."""
        self._client.start_read()
        return list(self._pages())

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

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
        target = "/instances" if token is None else f"/instances?page_token={quote(token)}"
        try:
            status, body = self._client.get(target)
        except DownloadError as error:
            raise PlatformUnavailableError(str(error)) from error
        if status != HTTPStatus.OK:
            raise PlatformUnavailableError(f"status {status}")
        if parsed_bytes(body) > MAX_PARSED_PAGE_BYTES:
            raise PlatformUnavailableError("a page has too many values")
        try:
            page = json.loads(body)
        except (ValueError, RecursionError) as error:
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
            self._list.close()
            self._list = None
            raise

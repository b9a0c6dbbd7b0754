"""Reading the platform's list of receivers, by one process at a time as long as that one does."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from typing import Any, Protocol
from urllib.parse import quote

import urllib3

from dewpin.cluster.errors import DewpinError
from dewpin.cluster.receivers import Receiver, receiver_from_platform

PAGE_LIMIT = 2000
READ_TIMEOUT_S = 0.8


class PlatformUnavailableError(DewpinError):
    """The platform gave no whole list: silent, refusing, over its rate or not making sense."""


class PlatformList:
    """The platform's list at one address."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = urllib3.PoolManager(
            num_pools=1, maxsize=1, retries=False, timeout=urllib3.Timeout(connect=0.5, read=READ_TIMEOUT_S)
        )

    def read(self) -> list[Receiver]:
        """All receivers, page by page. PlatformUnavailableError unless every page came."""
        return list(self._pages())

    def _pages(self) -> Iterator[Receiver]:
        token: str | None = None
        for _ in range(PAGE_LIMIT):
            page = self._page(token)
            try:
                yield from (receiver_from_platform(entry) for entry in page["instances"])
                token = page.get("next_token")
            except (KeyError, TypeError, ValueError, AttributeError) as fault:
                raise PlatformUnavailableError(repr(fault)) from None
            if not token:
                return
        raise PlatformUnavailableError("pages without end")

    def _page(self, token: str | None) -> dict[str, Any]:
        url = f"http://{self._address}/instances"
        if token is not None:
            url += f"?page_token={quote(token)}"
        try:
            answer = self._pool.request("GET", url, redirect=False)
        except urllib3.exceptions.HTTPError as fault:
            raise PlatformUnavailableError(repr(fault)) from None
        if answer.status != 200:
            raise PlatformUnavailableError(f"status {answer.status}")
        try:
            page = json.loads(answer.data)
        except ValueError as fault:
            raise PlatformUnavailableError(repr(fault)) from None
        if not isinstance(page, dict):
            raise PlatformUnavailableError("not an object")
        return page


class PlatformReader(Protocol):
    """Reads the platform's list without holding the caller's loop up."""

    async def read(self, address: str) -> list[Receiver]:
        """All receivers. PlatformUnavailableError unless the whole list came."""


class ThreadedPlatformReader:
    """Reads in a thread, over a connection that is kept while it serves."""

    def __init__(self) -> None:
        self._list: PlatformList | None = None
        self._address: str | None = None

    async def read(self, address: str) -> list[Receiver]:
        """All receivers. PlatformUnavailableError unless the whole list came; the next reading connects anew then."""
        if self._list is None or self._address != address:
            self._list, self._address = PlatformList(address), address
        try:
            return await asyncio.get_running_loop().run_in_executor(None, self._list.read)
        except PlatformUnavailableError:
            self._list = None
            raise

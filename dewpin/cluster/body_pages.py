"""Serves configuration bodies in pages to the senders that fetch them.

A body that this process is still fetching is relayed page by page: a request for a page that has not arrived yet waits
for it up to PAGE_WAIT_S. The number of concurrent callers is limited and each gets one page at a time, so that updates
and lease renewals on the same link are queued behind a bounded number of bytes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from .body_messages import BodyPage, BodyRequest
from .errors import ErrorKind
from .rpc import Message, RpcError

RELAY_PAGE_BYTES = 64 * 1024
"""Maximum size on the wire, where a character takes 1 to 12 bytes; takes 0.035 s on a link of 15 Mbit/s."""
MAX_BYTES_PER_CHARACTER = 12
PAGE_WAIT_S = 0.5
MAX_CALLERS = 6
"""The children of one parent, plus half as many that lost their own parent; one page each takes 0.21 s at 15 Mbit/s."""
CALLER_EXPIRY_S = 1.0
"""A caller that has not fetched the last page stops counting towards MAX_CALLERS this long after its last request."""


def fits_page(body: str) -> bool:
    """Return whether a body is short enough to be sent together with its system state."""
    if len(body) * MAX_BYTES_PER_CHARACTER <= RELAY_PAGE_BYTES:
        return True
    return len(body) <= RELAY_PAGE_BYTES and _wire_size(body) <= RELAY_PAGE_BYTES


def _page_at(text: str, offset: int) -> str:
    """Return the page that begins at character `offset`, the same at every process that has the text up to its end."""
    part = text[offset : offset + RELAY_PAGE_BYTES]
    while (size := _wire_size(part)) > RELAY_PAGE_BYTES:
        part = part[: len(part) * RELAY_PAGE_BYTES // size]
    return part


def _wire_size(text: str) -> int:
    return len(json.dumps(text)) - 2


@dataclass(frozen=True, slots=True)
class KnownBody:
    """The available part of a configuration body.

    `text`: the characters received so far, from the beginning.
    `length`: number of characters of the whole body.
    """

    text: str
    length: int


class BodyPageService:
    """Handles requests for pages of configuration bodies."""

    def __init__(self, known: Callable[[str], KnownBody | None], clock: Callable[[], float]) -> None:
        """`known` returns the available part of the body with a digest, or None; `clock` returns monotonic seconds."""
        self._known = known
        self._clock = clock
        self._changed = asyncio.Event()
        self._served_until_s: dict[str, float] = {}

    def announce(self) -> None:
        """Wake the requests that are waiting for a page."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, message: Message) -> Message:
        """Return a page.

        Raises RpcError: `body_unavailable` if the page does not arrive within PAGE_WAIT_S, `overloaded` if MAX_CALLERS
        other callers are being served.
        """
        request = BodyRequest.decode(message)
        self._admit(request.caller)
        page = self._page(request) or await self._wait_for_page(request)
        if request.offset + len(page.part) >= page.length:
            self._served_until_s.pop(request.caller, None)
        return page.encode()

    def _admit(self, caller: str) -> None:
        now_s = self._clock()
        self._served_until_s = {served: until_s for served, until_s in self._served_until_s.items() if until_s > now_s}
        if caller not in self._served_until_s and len(self._served_until_s) >= MAX_CALLERS:
            raise RpcError(ErrorKind.OVERLOADED, "others are being served")
        self._served_until_s[caller] = now_s + CALLER_EXPIRY_S

    def _page(self, request: BodyRequest) -> BodyPage | None:
        known = self._known(request.digest)
        if known is None or len(known.text) <= request.offset:
            return None
        return BodyPage(_page_at(known.text, request.offset), known.length)

    async def _wait_for_page(self, request: BodyRequest) -> BodyPage:
        try:
            async with asyncio.timeout(PAGE_WAIT_S):
                while (page := self._page(request)) is None:
                    await self._changed.wait()
        except TimeoutError:
            raise RpcError("body_unavailable", request.digest) from None
        return page

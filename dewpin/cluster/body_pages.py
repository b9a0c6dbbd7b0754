"""Answers senders that fetch the body of a configuration by pages.

A body that is still on its way here is passed on page by page: whoever asks for a page that isn't here yet waits a
moment for it. Few callers are served at a time, one page each, so that news and renewals on the same link wait behind
a bounded number of bytes.
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
"""On the wire, where a character takes 1 to 12 bytes: 0.035 s of a link of 15 Mbit/s."""
MOST_BYTES_OF_CHARACTER = 12
PAGE_WAIT_S = 0.5
MOST_CALLERS = 6
"""The children of one parent, and half as many again that lost theirs: with a page each 0.21 s at 15 Mbit/s."""
CALLER_FORGET_S = 1.0
"""After its last request, a caller that didn't come to the end takes no place any more."""


def fits_page(body: str) -> bool:
    """Whether a body is short enough to be sent whole with its state."""
    if len(body) * MOST_BYTES_OF_CHARACTER <= RELAY_PAGE_BYTES:
        return True
    return len(body) <= RELAY_PAGE_BYTES and _wire_bytes(body) <= RELAY_PAGE_BYTES


def _page_at(text: str, offset: int) -> str:
    """The page that begins there: the same one at whoever has the text that far."""
    part = text[offset : offset + RELAY_PAGE_BYTES]
    while (size := _wire_bytes(part)) > RELAY_PAGE_BYTES:
        part = part[: len(part) * RELAY_PAGE_BYTES // size]
    return part


def _wire_bytes(text: str) -> int:
    return len(json.dumps(text)) - 2


@dataclass(frozen=True, slots=True)
class KnownBody:
    """What is here of a body, from its beginning, and how many characters the whole has."""

    text: str
    length: int


class BodyPageService:
    """Gives pages out. `known` returns what is here of the body with that digest, if anything."""

    def __init__(self, known: Callable[[str], KnownBody | None], clock: Callable[[], float]) -> None:
        self._known = known
        self._clock = clock
        self._changed = asyncio.Event()
        self._served_until_s: dict[str, float] = {}

    def announce(self) -> None:
        """Wakes those that wait for a page."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, message: Message) -> Message:
        """Answers with a page. RpcError if it doesn't come in time, or if too many others are being served."""
        request = BodyRequest.decode(message)
        self._admit(request.caller)
        page = self._page(request) or await self._awaited_page(request)
        if request.offset + len(page.part) >= page.length:
            self._served_until_s.pop(request.caller, None)
        return page.encode()

    def _admit(self, caller: str) -> None:
        now_s = self._clock()
        self._served_until_s = {one: until_s for one, until_s in self._served_until_s.items() if until_s > now_s}
        if caller not in self._served_until_s and len(self._served_until_s) >= MOST_CALLERS:
            raise RpcError(ErrorKind.OVERLOADED, "others are being served")
        self._served_until_s[caller] = now_s + CALLER_FORGET_S

    def _page(self, request: BodyRequest) -> BodyPage | None:
        known = self._known(request.digest)
        if known is None or len(known.text) <= request.offset:
            return None
        return BodyPage(_page_at(known.text, request.offset), known.length)

    async def _awaited_page(self, request: BodyRequest) -> BodyPage:
        try:
            async with asyncio.timeout(PAGE_WAIT_S):
                while (page := self._page(request)) is None:
                    await self._changed.wait()
        except TimeoutError:
            raise RpcError("body_unavailable", request.digest) from None
        return page

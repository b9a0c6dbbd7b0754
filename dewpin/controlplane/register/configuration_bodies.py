"""A cache of configuration bodies by digest, so that a state can be sent without a body the recipient already has.

A body longer than a page is never sent with a state. A process that lacks it fetches it page by page, so that no
message occupies a slow link for long enough to make heartbeats time out. Pages received before a failure are kept for
the next attempt.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Collection
from typing import cast

from dewpin.cluster.body_messages import BodyPage, BodyRequest, configuration_digest
from dewpin.cluster.rpc import Message, RpcClient, RpcError
from dewpin.controlplane.register.messages import BODY, WireState
from dewpin.controlplane.register.system_state import SystemState, base_generation_of

log = logging.getLogger(__name__)

PAGE_CHARACTERS = 128 * 1024
PAGE_TIMEOUT_S = 1.0
"""Sufficient for one page over a 2 Mbit/s link with half of its capacity in use."""
MAX_BODIES = 4
MAX_CHARACTERS = 16 * 1024 * 1024
"""Limit for all bodies together; the newest is always kept. Peers may still be fetching a body that was replaced."""


class BodyUnavailableError(RpcError):
    """A body could not be fetched completely or does not match its digest."""

    def __init__(self, detail: str) -> None:
        super().__init__("body_unavailable", detail)


class ConfigurationBodies:
    """The configuration bodies known to this process, in order of last use."""

    def __init__(self, client: RpcClient) -> None:
        self._client = client
        self._bodies: OrderedDict[str, str] = OrderedDict()
        self._fetch_lock = asyncio.Lock()
        self._partial_digest = ""
        self._partial_pages: list[str] = []

    def digests(self) -> tuple[str, ...]:
        """Return the digests of the known bodies."""
        return tuple(self._bodies)

    def body(self, digest: str) -> str | None:
        """Return the body with a digest; None if it is unknown."""
        return self._bodies.get(digest)

    def add(self, state: SystemState) -> None:
        """Store the body of a state's configuration and evict the least recently used bodies above the limits."""
        configuration = state["configuration"]
        if configuration is None:
            return
        self._bodies[configuration["digest"]] = configuration["body"]
        self._bodies.move_to_end(configuration["digest"])
        while len(self._bodies) > 1 and self._exceeds_limits():
            self._bodies.popitem(last=False)

    def _exceeds_limits(self) -> bool:
        return len(self._bodies) > MAX_BODIES or sum(map(len, self._bodies.values())) > MAX_CHARACTERS

    def to_wire(self, state: SystemState, known_digests: Collection[str]) -> WireState:
        """Return the state to send to a process with these bodies. Omit a body that it has or that is too long."""
        self.add(state)
        configuration = state["configuration"]
        if configuration is None:
            return cast(WireState, state)
        if configuration["digest"] not in known_digests and len(configuration["body"]) <= PAGE_CHARACTERS:
            return cast(WireState, state)
        return {**state, "configuration": {name: field for name, field in configuration.items() if name != "body"}}

    async def from_wire(self, state: WireState, source: str) -> SystemState:
        """Return the complete state, fetching a missing body from the address `source`. Raises RpcError on failure."""
        configuration = state["configuration"]
        if configuration is not None and "body" not in configuration:
            body = await self._get_or_fetch(
                str(configuration["digest"]), base_generation_of(cast(SystemState, state)), source
            )
            state = {**state, "configuration": {**configuration, "body": body}}
        complete_state = cast(SystemState, state)
        self.add(complete_state)
        return complete_state

    async def handle_request(self, message: Message) -> Message:
        """Reply with one page of a body. Raises BodyUnavailableError if the body is unknown."""
        request = BodyRequest.decode(message)
        body = self._bodies.get(request.digest)
        if body is None:
            raise BodyUnavailableError(request.digest)
        return BodyPage(body[request.offset : request.offset + PAGE_CHARACTERS], len(body)).encode()

    async def _get_or_fetch(self, digest: str, base_generation: int, source: str) -> str:
        """Return a body from the cache or fetch it from `source`.

        Only one body is fetched at a time: concurrent fetches would share the link, and each would exceed its timeout.
        """
        if digest in self._bodies:
            return self._bodies[digest]
        async with self._fetch_lock:
            if digest in self._bodies:
                return self._bodies[digest]
            body = await self._fetch(digest, source)
            if configuration_digest(body.encode(), base_generation) != digest:
                raise BodyUnavailableError(f"{digest}: other bytes")
            self._bodies[digest] = body
            return body

    async def _fetch(self, digest: str, source: str) -> str:
        if self._partial_digest != digest:
            self._partial_digest, self._partial_pages = digest, []
        received = sum(map(len, self._partial_pages))
        while True:
            request = BodyRequest(BODY, digest, received)
            page = BodyPage.decode(await self._client.call(source, request.encode(), PAGE_TIMEOUT_S))
            self._partial_pages.append(page.part)
            received += len(page.part)
            if received >= page.length or not page.part:
                break
        body = "".join(self._partial_pages)
        self._partial_digest, self._partial_pages = "", []
        return body
